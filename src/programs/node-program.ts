/**
 * `shoredoor node`: runs beside one target, admits calls to it and forwards the calls that it makes. Gets its policy,
 * endpoints and claim view from control and keeps all state in memory.
 */
import type { Registry } from 'prom-client';
import { waitUntilAllIdle } from '../call/call-stats.js';
import type { StopSettings } from '../call/stop-phase.js';
import type { Logger } from '../common/logger.js';
import { listenContexts } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';
import { NodeInboundServer } from '../node/node-inbound-server.js';
import { NodeOutboundServer } from '../node/node-outbound-server.js';
import { startAdminServer } from '../observe/admin-server.js';
import { createNodeMetrics } from '../observe/node-metrics.js';
import { registerRateLimitMetrics } from '../observe/rate-limit-metrics.js';
import { OutboundRouter } from '../outbound/outbound-router.js';
import type { NodeSettings } from '../settings/node-settings.js';
import { bodyLimitsOf, followerReadiness } from './follower-setup.js';
import { createNodeParts, type NodeParts } from './node-parts.js';
import { delay, finishesWithin, type Program } from './program.js';

/** Minimum time for which a leaving node refuses calls, in milliseconds, for callers with an outdated endpoint list. */
const LEAVING_LINGER_MS = 3_000;

interface NodeServers {
  /** Accepts calls from edges and other nodes. */
  readonly inbound: ListeningServer;
  /** Accepts the calls that the target makes. */
  readonly outbound: ListeningServer;
  readonly admin: ListeningServer;
}

/** Starts a node. */
export async function startNode(settings: NodeSettings, logger: Logger): Promise<Program> {
  const parts = createNodeParts(settings, logger);
  // The inbound server must listen before the follower starts, which announces its address.
  const servers = await startServers(parts);
  const { inbound, outbound, admin } = servers;
  parts.advertised = settings.advertise ?? inbound.origin;
  parts.follower.start();
  const origins = { inbound: inbound.origin, outbound: outbound.origin, admin: admin.origin };
  logger.info('Listening.', origins);
  return { origins, stop: (limits = settings.stop) => stopNode(parts, servers, limits) };
}

async function startServers(parts: NodeParts): Promise<NodeServers> {
  const { settings, logger, leavingState, follower } = parts;
  const contextOf = listenContexts(logger);
  const outbound = await ListeningServer.start(
    settings.outbound,
    createOutbound(parts).handle,
    contextOf('outbound'),
  );
  const admin = await startAdminServer({
    address: settings.admin,
    context: contextOf('admin'),
    registry: createMetrics(parts),
    readiness: () =>
      followerReadiness(leavingState.isLeaving, follower, {
        leaving: 'leaving',
        unconfigured: 'no policy yet',
      }),
  });
  // Comes last: a call that is accepted before all addresses are bound would be cut off if one of them stays in use.
  const inbound = await ListeningServer.start(
    settings.inbound,
    createInbound(parts).handle,
    contextOf('inbound'),
  );
  return { inbound, outbound, admin };
}

function createMetrics(parts: NodeParts): Registry {
  const { inboundStats, outboundStats, admission, follower, announcements } = parts;
  const registry = createNodeMetrics(inboundStats, outboundStats, admission, follower);
  registerRateLimitMetrics(registry, () => announcements.rateLimitPerSecond);
  return registry;
}

function createInbound(parts: NodeParts): NodeInboundServer {
  const { clock, settings, admission, claims, claimReplica, leavingState, follower } = parts;
  const { announcements, leavingTarget } = parts;
  return new NodeInboundServer({
    service: settings.service,
    services: {
      clock,
      admission,
      claims,
      isLeaving: () => leavingState.isLeaving || leavingTarget.isLeaving,
    },
    registry: parts.registry,
    targetPool: parts.targetPool,
    onAnnouncement: (sentAt, announcement) =>
      announcements.onAnswer(announcements.incarnation, sentAt, announcement),
    linkToken: settings.linkToken,
    bodyLimits: bodyLimitsOf(settings),
    stats: parts.inboundStats,
    table: () => follower.view.table,
    onClaimMessage: (message) => claimReplica.handle(message),
  });
}

function createOutbound(parts: NodeParts): NodeOutboundServer {
  const { clock, random, settings, directory, pools, follower } = parts;
  return new NodeOutboundServer({
    clock,
    router: new OutboundRouter({ clock, random, directory }),
    registry: parts.registry,
    transport: { clock, pools, linkToken: settings.linkToken },
    bodyLimits: bodyLimitsOf(settings),
    stats: parts.outboundStats,
    table: () => follower.view.table,
    hasService: (service) => directory.has(service),
  });
}

/**
 * Announces that the node leaves and hands over its claims, refuses new calls until callers have updated their endpoint
 * lists, waits for calls in flight, then closes connections.
 */
async function stopNode(
  parts: NodeParts,
  servers: NodeServers,
  limits: StopSettings,
): Promise<void> {
  const { logger, leavingState, follower, claimReplica, inboundStats, outboundStats } = parts;
  const { inbound, outbound, admin } = servers;
  leavingState.isStopping = true;
  logger.info('Stopping; waiting for calls in flight.', { inFlight: inboundStats.inFlight });
  await Promise.all([
    follower.announceLeaving(),
    new Promise<void>((resolve) => claimReplica.handOver(resolve)),
  ]);
  await delay(Math.max(limits.drainMs, LEAVING_LINGER_MS));
  const closed = inbound.close();
  const drained = waitUntilAllIdle([inboundStats, outboundStats]).then(() => closed);
  const finished = await finishesWithin(drained, limits.timeoutMs);
  if (!finished) logger.warn('Calls were still in flight at the end of the stop.');
  follower.stop();
  claimReplica.stop();
  parts.leavingTarget.stop();
  for (const server of [inbound, outbound, admin]) server.destroy();
  await Promise.all([parts.pools.destroy(), parts.targetPool.destroy()]);
  logger.info('Stopped.');
}
