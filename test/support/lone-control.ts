/** A store of one control replica that takes whole declared sets, as sidecars follow it. */
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startControl } from '../../src/programs/control-program.js';
import type { Program } from '../../src/programs/program.js';
import { controlSettingsSchema, type ControlSettings } from '../../src/settings/schemas.js';
import { planReplicas, type Cleanup } from './processes.js';

export const LONE_LINK_TOKEN = 'test-link-token-0123456789';

/**
 * Starts the replica.
 * @param address `HOST:PORT` to listen at; one of its own choice if absent
 * @param advertise origin under which others reach it; that of its address if absent
 */
export async function startLoneControl(
  cleanup: Cleanup,
  address?: string,
  advertise?: string,
): Promise<Program> {
  const control = await startControl(await settingsOf(address, advertise), SILENT_LOGGER);
  cleanup.add(() => control.stop());
  return control;
}

async function settingsOf(address?: string, advertise?: string): Promise<ControlSettings> {
  const [place] = await planReplicas(1);
  const listen = address ?? place!.origin.slice('http://'.length);
  const origin = advertise ?? `http://${listen}`;
  return controlSettingsSchema.parse({
    id: 'control-1',
    zone: 'zone-a',
    admin: '127.0.0.1:0',
    listen,
    advertise: origin,
    seeds: [origin],
    bootstrap: true,
    dataDir: place!.dataDir,
    electionTimeoutMs: 100,
    declarations: 'open',
    linkToken: LONE_LINK_TOKEN,
  });
}

/** The replica at an address and a disk of its own, which it keeps when it is started again. */
export class RestartableControl {
  private constructor(
    private readonly settings: ControlSettings,
    private program: Program,
  ) {}

  static async start(cleanup: Cleanup): Promise<RestartableControl> {
    const settings = await settingsOf();
    const control = new RestartableControl(settings, await startControl(settings, SILENT_LOGGER));
    cleanup.add(() => control.program.stop());
    return control;
  }

  get origin(): string {
    return this.program.origins.listen!;
  }

  async restart(): Promise<void> {
    await this.program.stop();
    this.program = await startControl({ ...this.settings, bootstrap: false }, SILENT_LOGGER);
  }
}
