/** Starts a single control replica for tests of sidecars; it accepts whole declared sets. */
import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startControl } from '../../src/programs/control-program.js';
import type { Program } from '../../src/programs/program.js';
import { controlSettingsSchema, type ControlSettings } from '../../src/settings/schemas.js';
import { planReplicas, type Cleanup } from './processes.js';

export const LONE_LINK_TOKEN = 'test-link-token-0123456789';

/**
 * Starts the replica.
 * @param address `HOST:PORT` to listen on; a free port if absent
 * @param advertise origin at which other processes reach it; derived from its address if absent
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

/** A replica that keeps its address and data folder across restarts. */
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

/** Declares the first set of resources. @param origin of a control replica. @returns whether it was accepted */
export async function declareFirstSet(
  origin: string | undefined,
  resources: readonly unknown[],
): Promise<boolean> {
  const response = await request(`${origin}/v1/declarations`, {
    method: 'PUT',
    headers: { 'if-match': '0' },
    body: JSON.stringify({ version: 1, resources }),
  });
  await response.body.dump();
  return response.statusCode === 200;
}
