/**
 * `shoredoor sidecar`: the node beside one target that is also the ingress of its machine. Reads top to bottom as how a
 * sidecar starts, reloads and stops. Owns all its parts (sidecar-parts) and servers (sidecar-servers); keeps nothing on
 * disk. Relies on control for its configuration and on its target for reports of itself.
 */
import type { ConfigurationView } from '../follower/configuration-view.js';
import { DEFAULT_TARGET_HEADERS, type TargetHeaders } from '../http/target-headers.js';
import type { Logger } from '../common/logger.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './following-process.js';
import type { Program } from './program.js';
import { createSidecarParts, type SidecarParts } from './sidecar-parts.js';
import { startSidecarServers, type SidecarServers } from './sidecar-servers.js';
import { SidecarStop } from './sidecar-stop.js';

/** What a deployment may have in its own way. */
export interface SidecarOptions {
  readonly headers: TargetHeaders;
}

const DEFAULT_SIDECAR_OPTIONS: SidecarOptions = { headers: DEFAULT_TARGET_HEADERS };

/** Starts a sidecar. */
export async function startSidecar(
  settings: SidecarSettings,
  logger: Logger,
  { headers }: SidecarOptions = DEFAULT_SIDECAR_OPTIONS,
): Promise<Program<SidecarSettings>> {
  return new SidecarProcess(settings, logger, headers).start();
}

class SidecarProcess {
  private readonly parts: SidecarParts;
  private servers: SidecarServers | undefined;

  constructor(settings: SidecarSettings, logger: Logger, headers: TargetHeaders) {
    const onConfiguration = (view: ConfigurationView): void => this.applyConfiguration(view);
    this.parts = createSidecarParts({ settings, logger, headers, onConfiguration });
  }

  async start(): Promise<Program<SidecarSettings>> {
    const { parts } = this;
    const { settings, follower, target, logger } = parts;
    // Servers first: control lists this process under the address that the inbound one took.
    const servers = await startSidecarServers(parts);
    this.servers = servers;
    const { inbound, outbound, registration, admin } = servers;
    parts.advertised = settings.advertise ?? inbound.origin;
    // Then the follower: the configuration that it brings sets timeouts of a server.
    follower.start();
    // A target that fell silent is noticed by looking at its lease: no report comes that would tell.
    const expiry = setInterval(() => target.onChanged(), settings.heartbeatIntervalMs);
    const origins = {
      inbound: inbound.origin,
      outbound: outbound.origin,
      registration: registration.origin,
      admin: admin.origin,
    };
    logger.info('Listening.', origins);
    return {
      origins,
      // A running process takes other control origins and no other setting: all others need new sockets or new parts.
      reload: (next) => follower.setSeeds(next.control),
      stop: async () => {
        // What control is told of the target is from here on the stop's affair.
        clearInterval(expiry);
        await new SidecarStop(parts, servers).run(settings.stop);
      },
    };
  }

  private applyConfiguration(view: ConfigurationView): void {
    const { target } = this.parts;
    const { ingress: limits } = tableOf({ view });
    this.servers?.outbound.setTimeouts(limits.headerTimeoutMs, limits.idleTimeoutMs);
    target.configure();
    void target.probeOnce();
  }
}
