/** `shoredoor control`: wires one control replica together and stops it in order. */
import { AccessTokens } from '../control/access-tokens.js';
import { ChangeNotifier } from '../control/change-notifier.js';
import { ClaimViewKeeper } from '../control/claim-view-keeper.js';
import { LeadershipLog } from '../control/leadership-log.js';
import { QuotaKeeper } from '../control/quota-keeper.js';
import { QuarantineKeeper } from '../control/quarantine-keeper.js';
import { CrashEvidence } from '../quarantine/crash-evidence.js';
import { DECLARATIONS_PATH, DeclarationApi } from '../control/declaration-api.js';
import { PLAIN_DECLARATION_CODEC, type DeclarationCodec } from '../control/declaration-codec.js';
import { DeclarationService } from '../control/declaration-service.js';
import { FollowerApi } from '../control/follower-api.js';
import { MemberTable } from '../control/member-table.js';
import { PlatformListReader } from '../control/platform-list.js';
import { ReplicatedCommandLog } from '../control/replicated-command-log.js';
import {
  REPLICATION_PATH,
  ReplicationReceiver,
  ReplicationSender,
} from '../control/replication-link.js';
import { ResourceApi } from '../control/resource-api.js';
import { ResourceStore } from '../control/resource-store.js';
import { buildStatusReport, type StatusReport } from '../control/status-report.js';
import { SyncResponder } from '../control/sync-responder.js';
import { StoreMachine } from '../control/store-machine.js';
import { WatchStreams } from '../control/watch-streams.js';
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { SystemClock, type Clock } from '../common/clock.js';
import { ReplicaHost, type ReplicaHostOptions } from '../consensus/replica-host.js';
import { ControlClient } from '../http/control-client.js';
import { DiskFiles } from '../storage/disk-files.js';
import { ListeningServer } from '../http/listening-server.js';
import { createMetricsRegistry, startAdminServer } from '../observe/admin-server.js';
import { registerControlMetrics } from '../observe/control-metrics.js';
import type { Logger } from '../common/logger.js';
import type { ControlSettings } from '../settings/control-settings.js';
import { processRandom } from './process-random.js';
import { delay, within, type Program } from './program.js';

const EXPIRE_INTERVAL_MS = 500;
/**
 * Part of the 3 s from the third crash under a request until all processes keep it from targets; shorter than an
 * election, so that each leader has its line.
 */
const LEADER_CHECK_INTERVAL_MS = 100;
/** A replica that stops answers this long, so that clients are told to ask another. */
const STOP_LINGER_MS = 200;
const STOP_TIMEOUT_MS = 1_000;
const INTERNAL_PREFIX = '/internal/';

/** What a deployment may have in its own way. */
export interface ControlVariations {
  /** Layout of declared sets. */
  readonly declarationCodec: DeclarationCodec;
}

const DEFAULT_VARIATIONS: ControlVariations = { declarationCodec: PLAIN_DECLARATION_CODEC };

/** Starts a control replica. */
export async function startControl(
  settings: ControlSettings,
  logger: Logger,
  variations: ControlVariations = DEFAULT_VARIATIONS,
): Promise<Program> {
  const clock = new SystemClock();
  const store = new ResourceStore();
  const members = new MemberTable(clock.now(), settings.memberLeaseMs);
  const notifier = new ChangeNotifier(clock);
  const host = createReplicaHost(settings, clock, store, notifier, logger.part('replication'));
  const log = new ReplicatedCommandLog(clock, host);
  const receiver = new ReplicationReceiver(host, settings.linkToken);
  const claimViews = new ClaimViewKeeper(clock, store, members, log, () => Date.now());
  const evidence = new CrashEvidence(clock);
  const quarantines = new QuarantineKeeper({
    store,
    log,
    evidence,
    wallClock: () => Date.now(),
    logger: logger.part('quarantine'),
  });
  const platformList = createPlatformListReader(settings, clock, members, notifier, logger);
  const status = (): StatusReport =>
    buildStatusReport(settings.id, log.status(), store.revision, members.list());
  const watches = new WatchStreams(store, notifier, () => status().inForceRevision);
  const tokens = new AccessTokens(settings.tokens);
  const declarationApi = new DeclarationApi({
    service: new DeclarationService({ store, log, wallClock: () => Date.now() }),
    codec: variations.declarationCodec,
    tokens: settings.declarations === 'open' ? undefined : tokens,
    logger: logger.part('api'),
  });
  const resourceApi = new ResourceApi({
    store,
    log,
    tokens,
    watches,
    status,
    wallClock: () => Date.now(),
    logger: logger.part('api'),
  });
  const followerApi = new FollowerApi({
    clock,
    store,
    members,
    evidence,
    quotas: new QuotaKeeper(store, settings.quota, firstGrantsAt(settings, clock.now())),
    log,
    notifier,
    linkToken: settings.linkToken,
    responder: new SyncResponder(clock, store, members, `${settings.id}@${Date.now()}`, evidence),
  });
  const server = await ListeningServer.start(settings.listen, (message, response) => {
    routeTo(message.url ?? '', { receiver, followerApi, declarationApi, resourceApi })
      .handle(message, response)
      .catch((error: unknown) => {
        logger.error('A request failed.', { error: String(error) });
        response.destroy();
      });
  });
  const metrics = createMetricsRegistry();
  registerControlMetrics(metrics, store, notifier);
  const admin = await startAdminServer({
    address: settings.admin,
    registry: metrics,
    readiness: () => {
      const { problem } = log.status();
      return { ready: problem === undefined, detail: problem ?? 'ready' };
    },
  });
  const expiry = setInterval(() => {
    const versionBefore = members.endpointVersion;
    members.expire(clock.now());
    if (members.endpointVersion !== versionBefore) notifier.notify();
    if (settings.claims) claimViews.check();
  }, EXPIRE_INTERVAL_MS);
  const leadership = new LeadershipLog(logger.part('replication'));
  const leaderCheck = setInterval(() => {
    leadership.check(log.status());
    quarantines.check();
  }, LEADER_CHECK_INTERVAL_MS);
  host.start();
  platformList?.start();
  logger.info('Listening.', { origin: server.origin, admin: admin.origin });

  return {
    origins: { listen: server.origin, admin: admin.origin },
    stop: async () => {
      clearInterval(expiry);
      clearInterval(leaderCheck);
      platformList?.stop();
      watches.close();
      await log.close();
      const closed = server.close();
      await delay(STOP_LINGER_MS);
      await within(closed, STOP_TIMEOUT_MS);
      server.destroy();
      admin.destroy();
      logger.info('Stopped.');
    },
  };
}

/** Since when no grant is unknown here: at the first start of a deployment none has been given. */
function firstGrantsAt({ bootstrap }: ControlSettings, now: number): number {
  return bootstrap ? -Infinity : now;
}

function createReplicaHost(
  settings: ControlSettings,
  clock: Clock,
  store: ResourceStore,
  notifier: ChangeNotifier,
  logger: Logger,
): ReplicaHost {
  const { electionTimeoutMs, linkToken } = settings;
  return new ReplicaHost({
    clock,
    random: processRandom(),
    files: new DiskFiles(settings.dataDir),
    transport: new ReplicationSender(new ControlClient(linkToken), electionTimeoutMs),
    stateMachine: new StoreMachine(store, () => notifier.notify()),
    ...placeOf(settings),
    electionTimeoutMs,
    voterTarget: settings.voters,
    drawIdentity: () => randomUUID(),
    onPhase: (phase, problem) => {
      if (phase === 'damaged' || phase === 'failed') {
        logger.error('The replica takes no part.', { phase, problem });
      } else logger.info('The replica changed its phase.', { phase });
    },
  });
}

/** How a replica is named and reached, and whom it forms the store with or joins through. */
type ReplicaPlace = Pick<ReplicaHostOptions, 'name' | 'origin' | 'role' | 'contacts' | 'join'>;

function placeOf(settings: ControlSettings): ReplicaPlace {
  const { id: name, replicas, seeds, advertise, bootstrap } = settings;
  if (seeds !== undefined) {
    const origin = advertise!;
    const contacts = seeds.filter((seed) => seed !== origin);
    const forms = bootstrap && contacts.length < seeds.length;
    return { name, origin, role: 'voter', contacts, join: !forms };
  }
  const own = replicas!.find((replica) => replica.id === name)!;
  const contacts = replicas!.filter((replica) => replica.id !== name).map(({ origin }) => origin);
  return { name, origin: own.origin, role: own.role, contacts, join: settings.join };
}

function createPlatformListReader(
  settings: ControlSettings,
  clock: Clock,
  members: MemberTable,
  notifier: ChangeNotifier,
  logger: Logger,
): PlatformListReader | undefined {
  if (settings.platformList === undefined) return undefined;
  return new PlatformListReader({
    clock,
    ...settings.platformList,
    logger: logger.part('platform'),
    onLeaving: (addresses) => {
      const versionBefore = members.endpointVersion;
      members.setLeavingAddresses(addresses);
      if (members.endpointVersion !== versionBefore) notifier.notify();
    },
  });
}

interface RequestHandler {
  handle(message: IncomingMessage, response: ServerResponse): Promise<void>;
}

interface Handlers {
  readonly receiver: RequestHandler;
  readonly followerApi: RequestHandler;
  readonly declarationApi: RequestHandler;
  readonly resourceApi: RequestHandler;
}

function routeTo(path: string, handlers: Handlers): RequestHandler {
  if (path === REPLICATION_PATH) return handlers.receiver;
  if (path === DECLARATIONS_PATH) return handlers.declarationApi;
  return path.startsWith(INTERNAL_PREFIX) ? handlers.followerApi : handlers.resourceApi;
}
