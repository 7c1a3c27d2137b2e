/**
 * `shoredoor control`: one replica of the store that holds the configuration, and the API of operators and followers. Reads
 * top to bottom as its start, its periodic checks and its stop. Owns the data folder on disk (log, snapshot, identity);
 * members and their reports it has in memory alone and learns them anew from heartbeats. Relies on a majority of the
 * voters for every change.
 */
import type { Logger } from '../common/logger.js';
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
import { delay, within, type Program } from './program.js';

/** Milliseconds between two looks for members whose lease has ended: a twentieth of the default lease. */
const EXPIRE_INTERVAL_MS = 500;
/**
 * Milliseconds. Part of the 3 s from the third crash under a request until all processes keep it from targets; shorter
 * than an election, so that each leader has its line.
 */
const LEADER_CHECK_INTERVAL_MS = 100;
/** Milliseconds. A replica that stops answers this long, so that clients are told to ask another. */
const STOP_LINGER_MS = 200;
/** Longest time for connections to end after that, in milliseconds. */
const STOP_TIMEOUT_MS = 1_000;

/** The servers of a control replica. */
interface ControlServers {
  /** Operators, followers and other replicas. */
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
  // Servers first: the other replicas answer to this one as soon as it takes part.
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
  const listen = await ListeningServer.start(settings.listen, (message, response) => {
    handlerFor(message.url ?? '', handlers)
      .handle(message, response)
      .catch((error: unknown) => {
        logger.error('A request failed.', { error: String(error) });
        response.destroy();
      });
  });
  const registry = createMetricsRegistry();
  registerControlMetrics(registry, store, notifier);
  const admin = await startAdminServer({
    address: settings.admin,
    registry,
    readiness: () => {
      const { problem } = log.status();
      return { ready: problem === undefined, detail: problem ?? 'ready' };
    },
  });
  return { listen, admin };
}

/** What no message starts: members that fell silent, and what a leader has to see to. */
function startChecks(parts: ControlParts): readonly NodeJS.Timeout[] {
  const { log, leadership, quarantines } = parts;
  return [
    setInterval(() => checkMembers(parts), EXPIRE_INTERVAL_MS),
    setInterval(() => {
      leadership.check(log.status());
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
 * Checks end first, as they would write to the log; then streams and the log, so that nothing more is acknowledged; then
 * clients are told for a while to ask another replica; connections go last.
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
  await within(closed, STOP_TIMEOUT_MS);
  listen.destroy();
  admin.destroy();
  logger.info('Stopped.');
}
