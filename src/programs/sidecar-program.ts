/**
 * `shoredoor sidecar`: the node beside one target that is also the ingress of its machine. Gets its configuration from
 * control and reports from its target; stores nothing on disk.
 */
import type { ConfigurationView } from '../follower/configuration-view.js';
import { DEFAULT_TARGET_HEADERS, type TargetHeaders } from '../http/target-headers.js';
import type { Logger } from '../common/logger.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import { tableOf } from './follower-setup.js';
import type { Program } from './program.js';
import { createSidecarParts, type SidecarParts } from './sidecar-parts.js';
import { startSidecarServers, type SidecarServers } from './sidecar-servers.js';
import { SidecarStop } from './sidecar-stop.js';

/** Deployment-specific options of a sidecar. */
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
    // The inbound server must listen before the follower starts, which announces its address.
    const servers = await startSidecarServers(parts);
    this.servers = servers;
    const { inbound, outbound, registration, admin } = servers;
    parts.advertised = settings.advertise ?? inbound.origin;
    // The first configuration sets timeouts of the outbound server, which must exist by then.
    follower.start();
    // A target that stops reporting causes no event, so the lease is polled for expiry.
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
      // Only the control origins can be reloaded: all other settings need new sockets or parts.
      reload: (next) => follower.setSeeds(next.control),
      stop: async (limits = settings.stop) => {
        // From here on only the stop announces the state of the target.
        clearInterval(expiry);
        await new SidecarStop(parts, servers).run(limits);
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
