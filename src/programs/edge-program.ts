/**
 * `shoredoor edge`: accepts external calls in one zone and forwards them to nodes. Gets its policy and
 * endpoints from control and keeps all state in memory.
 */
import { CallStats } from '../call/call-stats.js';
import { EdgeServer } from '../edge/edge-server.js';
import { OutboundRouter } from '../outbound/outbound-router.js';
import { StopPhase, StopProgress, stopTimes, type StopSettings } from '../call/stop-phase.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import type { Follower } from '../follower/follower.js';
import { ConnectionPools } from '../http/connection-pools.js';
import { listenContexts } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';
import { createMetricsRegistry, startAdminServer } from '../observe/admin-server.js';
import { registerCallMetrics } from '../observe/call-metrics.js';
import type { Logger } from '../common/logger.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import type { EdgeSettings } from '../settings/edge-settings.js';
import {
  applyEndpoints,
  bodyLimitsOf,
  createDirectory,
  createProcessFollower,
  followerReadiness,
  type ProcessContext,
} from './follower-setup.js';
import { createProcessClock } from './clock-logger.js';
import { processRandom } from './process-random.js';
import { delay, finishesWithin, type Program } from './program.js';

/** Maximum connections to one node. */
const CONNECTIONS_PER_NODE = 256;

interface EdgeParts extends ProcessContext {
  readonly settings: EdgeSettings;
  readonly stats: CallStats;
  readonly pools: ConnectionPools;
  readonly stop: StopProgress;
  readonly directory: ServiceDirectory;
  readonly follower: Follower;
}

interface EdgeServers {
  readonly listen: ListeningServer;
  readonly admin: ListeningServer;
}

/** Starts an edge. */
export async function startEdge(settings: EdgeSettings, logger: Logger): Promise<Program> {
  const parts = createParts(settings, logger);
  const servers = await startServers(parts);
  // Until the follower has received a policy, every call is refused and /readyz reports not ready.
  parts.follower.start();
  const { listen, admin } = servers;
  logger.info('Listening.', { origin: listen.origin, admin: admin.origin });
  return {
    origins: { listen: listen.origin, admin: admin.origin },
    stop: (limits = settings.stop) => stopEdge(parts, servers, limits),
  };
}

function createParts(settings: EdgeSettings, logger: Logger): EdgeParts {
  const clock = createProcessClock(logger);
  const base = { clock, random: processRandom(), settings, logger };
  const pools = new ConnectionPools({ connections: CONNECTIONS_PER_NODE });
  const stop = new StopProgress(clock);
  const directory = createDirectory(
    base,
    (service) => follower.view.table?.serviceSpec(service).slowStartMs ?? 0,
  );
  const follower = createFollower(base, stop, (view) => applyEndpoints(view, directory, pools));
  return { ...base, stats: new CallStats(), pools, stop, directory, follower };
}

function createFollower(
  base: ProcessContext,
  stop: StopProgress,
  onEndpoints: (view: ConfigurationView) => void,
): Follower {
  const { settings, logger } = base;
  const incarnation = Date.now();
  return createProcessFollower(base, {
    identity: () => ({
      id: settings.id,
      role: 'edge',
      incarnation,
      zone: settings.zone,
      service: undefined,
      origin: undefined,
      claimEpoch: 0,
    }),
    onConfiguration: () => undefined,
    onEndpoints,
    onSuperseded: () => {
      if (stop.phase !== StopPhase.Running) return;
      logger.error('A newer process uses the same id; stopping.');
      stop.phase = StopPhase.Draining;
    },
  });
}

async function startServers(parts: EdgeParts): Promise<EdgeServers> {
  const { settings, logger, stats, stop, follower } = parts;
  const contextOf = listenContexts(logger);
  const registry = createMetricsRegistry();
  registerCallMetrics(registry, stats, 'edge');
  const admin = await startAdminServer({
    address: settings.admin,
    context: contextOf('admin'),
    registry,
    readiness: () =>
      followerReadiness(stop.phase !== StopPhase.Running, follower, {
        leaving: 'stopping',
        unconfigured: 'no policy yet',
      }),
  });
  const { handle } = createServer(parts);
  const listen = await ListeningServer.start(settings.listen, handle, contextOf('listen'));
  return { listen, admin };
}

function createServer(parts: EdgeParts): EdgeServer {
  const { clock, random, settings, stats, pools, stop, directory, follower } = parts;
  return new EdgeServer({
    clock,
    router: new OutboundRouter({ clock, random, directory }),
    transport: { clock, pools, linkToken: settings.linkToken },
    stats,
    bodyLimits: bodyLimitsOf(settings),
    maxInFlight: settings.limits.maxInFlight,
    table: () => follower.view.table,
    stop,
  });
}

/**
 * Reports not ready while it still accepts calls, so that callers can move to another edge; then waits for calls in flight
 * and closes connections.
 */
async function stopEdge(
  parts: EdgeParts,
  { listen, admin }: EdgeServers,
  limits: StopSettings,
): Promise<void> {
  const { logger, stats, stop, follower, pools } = parts;
  const times = stopTimes(limits);
  stop.begin(times);
  logger.info('Stopping; reporting not ready and waiting for calls in flight.', {
    inFlight: stats.inFlight,
  });
  await delay(times.drainMs);
  const closed = listen.close();
  const finished = await finishesWithin(
    stats.waitUntilIdle().then(() => closed),
    stop.timeLeftMs,
  );
  if (!finished) logger.warn('Calls were still in flight at the end of the stop.');
  follower.stop();
  listen.destroy();
  admin.destroy();
  await pools.destroy();
  logger.info('Stopped.');
}
