/**
 * Creates the parts of a control replica: the resource store and its replicated log, the member table, the periodic checks
 * and the HTTP APIs.
 */
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { ReplicaFolder } from '../consensus/replica-folder.js';
import type { ReplicaHost } from '../consensus/replica-host.js';
import { AccessTokens } from '../control/access-tokens.js';
import { ChangeNotifier } from '../control/change-notifier.js';
import { ClaimViewController } from '../control/claim-view-controller.js';
import { DeclarationApi } from '../control/declaration-api.js';
import { PLAIN_DECLARATION_CODEC, type DeclarationCodec } from '../control/declaration-codec.js';
import { DeclarationService } from '../control/declaration-service.js';
import { FollowerApi } from '../control/follower-api.js';
import { LeadershipLogger } from '../control/leadership-logger.js';
import { LossToleranceLogger } from '../control/loss-tolerance-logger.js';
import { MemberTable } from '../control/member-table.js';
import { PlatformListReader } from '../control/platform-list.js';
import { QuarantineController } from '../control/quarantine-controller.js';
import { QuotaGranter } from '../control/quota-granter.js';
import { ReplicatedCommandLog } from '../control/replicated-command-log.js';
import { ReplicationReceiver } from '../control/replication-link.js';
import { ResourceApi } from '../control/resource-api.js';
import { ResourceStore } from '../control/resource-store.js';
import { buildStatusReport } from '../control/status-report.js';
import { type StatusReport } from '../sync/status-report.js';
import { SyncResponder } from '../control/sync-responder.js';
import { WatchStreams } from '../control/watch-streams.js';
import { CrashEvidence } from '../quarantine/crash-evidence.js';
import { DiskFiles } from '../storage/disk-files.js';
import type { ControlSettings } from '../settings/control-settings.js';
import { createProcessClock } from './clock-logger.js';
import { createReplicaHost, lossToleranceOf } from './control-replica.js';
import type { RequestHandlers } from './control-routes.js';

/** Deployment-specific options of a control replica. */
export interface ControlOptions {
  /** Translates between the body of the declarations API and the declared set. */
  readonly declarationCodec: DeclarationCodec;
}

export const DEFAULT_CONTROL_OPTIONS: ControlOptions = {
  declarationCodec: PLAIN_DECLARATION_CODEC,
};

/** The replicated store, and the members known from their heartbeats. */
interface StoreParts {
  readonly settings: ControlSettings;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly store: ResourceStore;
  readonly members: MemberTable;
  /** Wakes pending syncs and watches after a change. */
  readonly notifier: ChangeNotifier;
  readonly host: ReplicaHost;
  readonly log: ReplicatedCommandLog;
  /** Requests that crash targets, as reported by followers. */
  readonly evidence: CrashEvidence;
}

/** Parts that run periodically; those that write to the store do so on the leader only. */
interface PeriodicParts {
  readonly claimViews: ClaimViewController;
  readonly quarantines: QuarantineController;
  readonly leadership: LeadershipLogger;
  readonly lossTolerance: LossToleranceLogger;
  /** Undefined if the settings have no `platformList`. */
  readonly platformList: PlatformListReader | undefined;
}

export interface ControlParts extends StoreParts, PeriodicParts {
  readonly watches: WatchStreams;
  readonly handlers: RequestHandlers;
}

/** Creates the parts without starting them. */
export function createControlParts(
  settings: ControlSettings,
  logger: Logger,
  options: ControlOptions,
): ControlParts {
  const parts = createStoreParts(settings, logger);
  const status = createStatusReader(parts);
  const watches = new WatchStreams(parts.store, parts.notifier, () => status().inForceRevision);
  const tokens = new AccessTokens(settings.tokens);
  return {
    ...parts,
    ...createPeriodicParts(parts),
    watches,
    handlers: {
      receiver: new ReplicationReceiver(parts.host, settings.linkToken),
      followerApi: createFollowerApi(parts),
      declarationApi: createDeclarationApi(parts, tokens, options),
      resourceApi: createResourceApi(parts, tokens, watches, status),
    },
  };
}

function createStoreParts(settings: ControlSettings, logger: Logger): StoreParts {
  const clock = createProcessClock(logger);
  const store = new ResourceStore();
  const notifier = new ChangeNotifier(clock);
  const host = createReplicaHost(settings, clock, store, notifier, logger.part('replication'));
  return {
    settings,
    logger,
    clock,
    store,
    members: new MemberTable(clock.now(), settings.memberLeaseMs),
    notifier,
    host,
    log: new ReplicatedCommandLog(clock, host),
    evidence: new CrashEvidence(clock),
  };
}

function createPeriodicParts(parts: StoreParts): PeriodicParts {
  const { settings, clock, store, members, log, evidence, logger } = parts;
  const replication = logger.part('replication');
  return {
    claimViews: new ClaimViewController(clock, store, members, log, wallClock),
    quarantines: new QuarantineController({
      store,
      log,
      evidence,
      wallClock,
      logger: logger.part('quarantine'),
    }),
    leadership: new LeadershipLogger(replication),
    lossTolerance: new LossToleranceLogger(replication, lossToleranceOf(settings)),
    platformList: createPlatformListReader(parts),
  };
}

function createFollowerApi(parts: StoreParts): FollowerApi {
  const { settings, logger, clock, store, members, notifier, log, evidence } = parts;
  // Identifies this run of the replica: endpoint versions of different runs are not comparable.
  const source = `${settings.id}@${Date.now()}`;
  return new FollowerApi({
    clock,
    store,
    members,
    evidence,
    quotas: new QuotaGranter({
      store,
      log,
      rule: settings.quota,
      startedAt: grantsKnownSince(settings, clock.now()),
      wallClock,
      logger: logger.part('quota'),
    }),
    log,
    notifier,
    linkToken: settings.linkToken,
    responder: new SyncResponder(clock, store, members, source, evidence),
  });
}

function createDeclarationApi(
  { settings, store, log, logger }: StoreParts,
  tokens: AccessTokens,
  { declarationCodec: codec }: ControlOptions,
): DeclarationApi {
  return new DeclarationApi({
    service: new DeclarationService({ store, log, wallClock }),
    codec,
    tokens: settings.declarations === 'open' ? undefined : tokens,
    logger: logger.part('api'),
  });
}

function createResourceApi(
  { store, log, logger }: StoreParts,
  tokens: AccessTokens,
  watches: WatchStreams,
  status: () => StatusReport,
): ResourceApi {
  return new ResourceApi({
    store,
    log,
    tokens,
    watches,
    status,
    wallClock,
    logger: logger.part('api'),
  });
}

function createStatusReader({ settings, log, store, members }: StoreParts): () => StatusReport {
  return () => buildStatusReport(settings.id, log.status(), store.revision, members.list());
}

/** Milliseconds since the Unix epoch. */
function wallClock(): number {
  return Date.now();
}

/**
 * Time from which all quota grants are known here. A replica that bootstraps the deployment has no earlier grants; one with a
 * data folder has taken part before, whatever its settings still say.
 */
function grantsKnownSince({ bootstrap, dataDir }: ControlSettings, now: number): number {
  return bootstrap && isNewFolder(dataDir) ? -Infinity : now;
}

function isNewFolder(dataDir: string): boolean {
  try {
    return !new ReplicaFolder(new DiskFiles(dataDir)).isCreated;
  } catch {
    // A folder that cannot be read now may hold an identity. The replica logs the error.
    return false;
  }
}

function createPlatformListReader(parts: StoreParts): PlatformListReader | undefined {
  const { settings, clock, members, notifier, logger } = parts;
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
