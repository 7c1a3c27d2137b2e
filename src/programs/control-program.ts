/**
 * `shoredoor control`: one replica of the configuration store, with the APIs for operators and followers. The store is
 * persisted in the data folder; members are kept in memory only and are rebuilt from heartbeats after a restart.
 */
import type { RequestListener } from 'node:http';
import type { Logger } from '../common/logger.js';
import { listenContexts } from '../http/listen.js';
import { ListeningServer } from '../http/listening-server.js';
import { createMetricsRegistry, startAdminServer } from '../observe/admin-server.js';
import { registerControlMetrics } from '../observe/control-metrics.js';
import type { ControlSettings } from '../settings/control-settings.js';
import {
  createControlParts,
  DEFAULT_CONTROL_OPTIONS,
  type ControlParts,
  type ControlOptions,
} from './control-parts.js';
import { handlerFor } from './control-routes.js';
import { delay, finishesWithin, type Program } from './program.js';

/** Interval of the check for expired member leases, in milliseconds. */
const EXPIRE_INTERVAL_MS = 500;
/**
 * Interval of the checks that a leader runs, in milliseconds. It adds to the delay until a request that crashes targets is
 * quarantined, and is shorter than an election, so that every change of leader is logged.
 */
const LEADER_CHECK_INTERVAL_MS = 100;
/** Time for which a stopping replica still answers, in milliseconds, so that clients are redirected to another replica. */
const STOP_LINGER_MS = 200;
/** Maximum time for connections to close after that, in milliseconds. */
const STOP_TIMEOUT_MS = 1_000;

interface ControlServers {
  /** Serves operators, followers and other replicas. */
  readonly listen: ListeningServer;
  readonly admin: ListeningServer;
}

/** Starts a control replica. */
export async function startControl(
  settings: ControlSettings,
  logger: Logger,
  options: ControlOptions = DEFAULT_CONTROL_OPTIONS,
): Promise<Program> {
  const parts = createControlParts(settings, logger, options);
  // The servers must listen before the replica starts: other replicas send to it as soon as it participates.
  const servers = await startServers(parts);
  const { listen, admin } = servers;
  const timers = startChecks(parts);
  parts.host.start();
  parts.platformList?.start();
  logger.info('Listening.', { origin: listen.origin, admin: admin.origin });
  return {
    origins: { listen: listen.origin, admin: admin.origin },
    stop: () => stopControl(parts, servers, timers),
  };
}

async function startServers(parts: ControlParts): Promise<ControlServers> {
  const { settings, logger, handlers, store, notifier, log } = parts;
  const contextOf = listenContexts(logger);
  const handle: RequestListener = (message, response) => {
    handlerFor(message.url ?? '', handlers)
      .handle(message, response)
      .catch((error: unknown) => {
        logger.error('A request failed.', { error: String(error) });
        response.destroy();
      });
  };
  const listen = await ListeningServer.start(settings.listen, handle, contextOf('listen'));
  const registry = createMetricsRegistry();
  registerControlMetrics(registry, store, notifier, log);
  const admin = await startAdminServer({
    address: settings.admin,
    context: contextOf('admin'),
    registry,
    readiness: () => {
      const { problem } = log.status();
      return { ready: problem === undefined, detail: problem ?? 'ready' };
    },
  });
  return { listen, admin };
}

/** Starts the timers of the member expiry and of the leader's checks. */
function startChecks(parts: ControlParts): readonly NodeJS.Timeout[] {
  const { log, leadership, lossTolerance, quarantines } = parts;
  return [
    setInterval(() => checkMembers(parts), EXPIRE_INTERVAL_MS),
    setInterval(() => {
      leadership.logChange(log.status());
      lossTolerance.logChange(log.bearableLosses());
      quarantines.check();
    }, LEADER_CHECK_INTERVAL_MS),
  ];
}

function checkMembers({ settings, clock, members, notifier, claimViews }: ControlParts): void {
  const versionBefore = members.endpointVersion;
  members.expire(clock.now());
  if (members.endpointVersion !== versionBefore) notifier.notify();
  if (settings.claims) claimViews.check();
}

/**
 * Stops in an order in which no acknowledged change is lost: first the periodic checks, which write to the log, then the
 * watch streams and the log. Clients are redirected to another replica for a short time before connections are closed.
 */
async function stopControl(
  { platformList, watches, log, logger }: ControlParts,
  { listen, admin }: ControlServers,
  timers: readonly NodeJS.Timeout[],
): Promise<void> {
  for (const timer of timers) clearInterval(timer);
  platformList?.stop();
  watches.close();
  await log.close();
  const closed = listen.close();
  await delay(STOP_LINGER_MS);
  await finishesWithin(closed, STOP_TIMEOUT_MS);
  listen.destroy();
  admin.destroy();
  logger.info('Stopped.');
}
