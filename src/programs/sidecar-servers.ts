/** Starts the servers of a sidecar. */
import type { Registry } from 'prom-client';
import { StopPhase } from '../call/stop-phase.js';
import type { GateServer } from '../gate/gate-server.js';
import { listenContexts } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';
import type { IngressServer } from '../ingress/ingress-server.js';
import { LinkServer } from '../link/link-server.js';
import { RegistrationApi } from '../membership/registration-api.js';
import { startAdminServer } from '../observe/admin-server.js';
import { createNodeMetrics } from '../observe/node-metrics.js';
import { registerQuarantineMetrics } from '../observe/quarantine-metrics.js';
import { registerRoomMetrics } from '../observe/room-metrics.js';
import { registerRateLimitMetrics } from '../observe/rate-limit-metrics.js';
import { registerQuotaMetrics } from '../observe/quota-metrics.js';
import { registerRetryMetrics } from '../observe/retry-metrics.js';
import { followerReadiness, tableOf } from './follower-setup.js';
import { registerTargetLoadMetrics } from '../observe/target-load-metrics.js';
import { createGate } from './sidecar-gate.js';
import { createIngress } from './sidecar-ingress.js';
import type { SidecarParts } from './sidecar-parts.js';

/** Larger than any limit that a route may set, so that the ingress can answer with the limit that was exceeded. */
const MAX_HEADER_BYTES = 256 * 1024;

/** The listening servers, and the gate and ingress that handle their calls. */
export interface SidecarServers {
  readonly gate: GateServer;
  readonly ingress: IngressServer;
  /** Accepts calls from the sidecars of other machines, for the gate. */
  readonly inbound: LinkServer;
  /** Accepts requests from clients and from the target, for the ingress. */
  readonly outbound: ListeningServer;
  /** Accepts the reports of the target. */
  readonly registration: ListeningServer;
  readonly admin: ListeningServer;
}

/**
 * Starts the servers. The one that accepts calls for the target is last: calls that are accepted before all addresses are bound
 * would be cut off if one of them stays in use. Probes of the admin server succeed once the follower has started.
 */
export async function startSidecarServers(parts: SidecarParts): Promise<SidecarServers> {
  const { settings, logger } = parts;
  const contextOf = listenContexts(logger);
  const gate = createGate(parts);
  const ingress = createIngress(parts);
  const admin = await startAdminServer({
    address: settings.admin,
    context: contextOf('admin'),
    registry: createMetrics(parts),
    readiness: () =>
      followerReadiness(parts.stopProgress.phase !== StopPhase.Running, parts.follower, {
        leaving: 'leaving',
        unconfigured: 'no configuration yet',
      }),
  });
  const outbound = await ListeningServer.start(
    settings.outbound,
    ingress.handle,
    contextOf('outbound'),
    { maxHeaderBytes: MAX_HEADER_BYTES },
  );
  const registration = await ListeningServer.start(
    settings.registration,
    createRegistration(parts).handle,
    contextOf('registration'),
  );
  const inbound = await LinkServer.start(
    settings.inbound,
    settings.linkToken,
    gate.handle,
    contextOf('inbound'),
  );
  return { gate, ingress, inbound, outbound, registration, admin };
}

function createRegistration({ lease, logger, follower }: SidecarParts): RegistrationApi {
  return new RegistrationApi(lease, logger.part('target'), (service) => {
    // Targets may report before the first set is declared, so any service is accepted until then.
    const declared = tableOf(follower).serviceNames();
    return declared.length === 0 || declared.includes(service);
  });
}

function createMetrics(parts: SidecarParts): Registry {
  const {
    inboundStats,
    outboundStats,
    admission,
    follower,
    retryBudget,
    crashGuard,
    announcements,
    targetLoad,
    roomParts,
    quota,
  } = parts;
  const registry = createNodeMetrics(inboundStats, outboundStats, admission, follower);
  registerRetryMetrics(registry, retryBudget);
  registerQuotaMetrics(registry, () => quota.heatCounts());
  registerRateLimitMetrics(registry, () => announcements.rateLimitPerSecond);
  registerTargetLoadMetrics(registry, () => targetLoad.current);
  registerQuarantineMetrics(registry, {
    crashes: () => crashGuard.crashes,
    quarantines: () => tableOf(follower).quarantineCount,
  });
  if (roomParts !== undefined) registerRoomMetrics(registry, roomParts.pressure, roomParts.room);
  return registry;
}
