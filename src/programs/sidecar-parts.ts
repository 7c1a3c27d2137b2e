/**
 * Creates the parts of a sidecar, with one factory for each group. Some parts depend on each other (the lease notifies the
 * follower, the follower announces the target of the lease), so factories get a `getParts` function, which may be called
 * only after all parts are created.
 */
import { AdmissionController } from '../admission/admission-controller.js';
import { CongestionLevel } from '../admission/congestion-level.js';
import { NestedCallShares } from '../admission/nested-call-shares.js';
import { PathBottlenecks } from '../admission/path-bottlenecks.js';
import { TargetPressure } from '../admission/target-pressure.js';
import { TargetRateLimiter } from '../admission/target-rate-limiter.js';
import { SlotLimiter } from '../admission/slot-limiter.js';
import { CallStats } from '../call/call-stats.js';
import { RequestLog } from '../call/request-log.js';
import { StopProgress } from '../call/stop-phase.js';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { RandomSource } from '../common/random.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import type { Follower } from '../follower/follower.js';
import { GATE_SHARING, QUEUE_WAIT_MS, USABLE_SLOT_FRACTION } from '../gate/gate-policy.js';
import { KindPaceTracker } from '../gate/kind-pace-tracker.js';
import { UnservedRuns } from '../gate/unserved-runs.js';
import { TargetLoadTracker } from '../gate/target-load-tracker.js';
import type { TargetHeaders } from '../http/target-headers.js';
import { FirstHopRoom } from '../ingress/first-hop-room.js';
import { LinkPool } from '../link/link-pool.js';
import { TargetAnnouncements } from '../membership/target-announcements.js';
import { TargetConnectionPool } from '../membership/target-connection-pool.js';
import { refusesConnections } from '../membership/port-probe.js';
import { TargetLease } from '../membership/target-lease.js';
import { IMPORTANCE_COUNT } from '../policy/importance.js';
import { CrashGuard } from '../quarantine/crash-guard.js';
import { IngressQuota } from '../quota/ingress-quota.js';
import { RepeatedRuns } from '../retry/repeated-runs.js';
import { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { ServiceDirectory } from '../routing/service-directory.js';
import { WeightedSplit } from '../routing/weighted-split.js';
import type { Heartbeat } from '../sync/heartbeat.js';
import type { SidecarSettings } from '../settings/sidecar-settings.js';
import {
  applyEndpoints,
  createDirectory,
  createProcessFollower,
  tableOf,
} from './follower-setup.js';
import { createProcessClock } from './clock-logger.js';
import { logHeat } from './heat-logger.js';
import { processRandom } from './process-random.js';
import { SlowPhaseLog } from './slow-phase-log.js';
import { SidecarTarget } from './sidecar-target.js';

export interface SidecarInputs {
  readonly settings: SidecarSettings;
  readonly logger: Logger;
  /** Names of the headers that the target reads and writes. */
  readonly headers: TargetHeaders;
  /** Called when a configuration takes effect. */
  readonly onConfiguration: (view: ConfigurationView) => void;
}

/** Clock, random source, start time and stop progress of the process. */
interface ProcessParts extends SidecarInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Wall-clock time, in milliseconds. */
  readonly startedAt: number;
  readonly stopProgress: StopProgress;
}

/** Call counters and the request log. */
interface ObservabilityParts {
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  readonly journal: RequestLog;
}

/** The target on this machine: its identity, its connections and the requests that crash it. */
interface TargetParts {
  readonly lease: TargetLease;
  readonly target: SidecarTarget;
  readonly announcements: TargetAnnouncements;
  readonly rateLimiter: TargetRateLimiter;
  readonly instancePool: TargetConnectionPool;
  readonly crashGuard: CrashGuard;
}

/** Admission control in front of the target: concurrency, queue order and the retry budget. */
interface GateParts {
  readonly limiter: SlotLimiter;
  readonly admission: AdmissionController;
  /** Congestion of the queue in front of the target, indexed by importance. */
  readonly queueLevels: readonly CongestionLevel[];
  readonly retryBudget: ServiceRetryBudget;
  /** Durations of calls in the target, by kind. */
  readonly kindPace: KindPaceTracker;
  readonly unservedRuns: UnservedRuns;
  /** Load that the target reports. */
  readonly targetLoad: TargetLoadTracker;
}

/** Routing of requests and the quota of each group. */
interface IngressParts {
  readonly split: WeightedSplit;
  readonly directory: ServiceDirectory;
  readonly links: LinkPool;
  readonly quota: IngressQuota;
}

/** Room at the services on the path of requests. */
interface RoomParts {
  readonly pressure: TargetPressure;
  readonly bottlenecks: PathBottlenecks;
  readonly room: FirstHopRoom;
}

/** State shared by gate and ingress: the calls that the target makes leave through the ingress. */
interface GateAndIngressParts {
  /** Congestion of the calls that the target makes. */
  readonly downstream: CongestionLevel;
  readonly repeatedRuns: RepeatedRuns;
  /** Undefined if requests are not refused for want of room downstream. */
  readonly roomParts: RoomParts | undefined;
}

/** The connection to control and the current configuration. */
interface ControlLinkParts {
  readonly follower: Follower;
  /** Origin announced for the inbound server; empty until it listens. */
  advertised: string;
}

export interface SidecarParts
  extends
    ProcessParts,
    ObservabilityParts,
    TargetParts,
    GateParts,
    IngressParts,
    GateAndIngressParts,
    ControlLinkParts {}

/** Returns all parts; may be called only after they are created. */
type PartsGetter = () => SidecarParts;

/** Creates the parts without starting them. */
export function createSidecarParts(inputs: SidecarInputs): SidecarParts {
  const getParts: PartsGetter = () => parts;
  const clock = createProcessClock(inputs.logger);
  const base: ProcessParts = {
    ...inputs,
    clock,
    random: processRandom(),
    startedAt: Date.now(),
    stopProgress: new StopProgress(clock),
  };
  const targetParts = createTargetParts(base, getParts);
  const gateParts = createGateParts(base, targetParts.rateLimiter, getParts);
  const parts: SidecarParts = {
    ...base,
    ...createObservability(base),
    ...targetParts,
    ...gateParts,
    ...createIngressParts(base, getParts),
    downstream: new CongestionLevel(clock),
    repeatedRuns: new RepeatedRuns(),
    roomParts: createRoomParts(base, gateParts.admission, targetParts.lease),
    ...createControlLink(base, getParts),
  };
  return parts;
}

function createObservability({ clock, logger }: ProcessParts): ObservabilityParts {
  return {
    inboundStats: new CallStats(),
    outboundStats: new CallStats(),
    journal: new RequestLog(clock, logger.part('request')),
  };
}

function createTargetParts(base: ProcessParts, getParts: PartsGetter): TargetParts {
  const { clock, settings, logger, startedAt } = base;
  const target = new SidecarTarget(startedAt, logger, getParts);
  const rateLimiter = new TargetRateLimiter(clock);
  rateLimiter.hold();
  const lease = new TargetLease(clock, settings.targetSilentMs, () => target.onChanged());
  const crashGuard = new CrashGuard({
    clock,
    logger: logger.part('target'),
    target: () => lease.current,
    refusesConnections,
    table: () => tableOf(getParts().follower),
    onTargetCrash: (instance) => lease.onConnectionRefused(instance),
    onUpdate: () => getParts().follower.announceChange(),
  });
  return {
    lease,
    target,
    rateLimiter,
    announcements: new TargetAnnouncements(
      rateLimiter,
      (leaving) => lease.onLeave(leaving),
      logger.part('target'),
    ),
    instancePool: new TargetConnectionPool(clock),
    crashGuard,
  };
}

function createGateParts(
  base: ProcessParts,
  rateLimiter: TargetRateLimiter,
  getParts: PartsGetter,
): GateParts {
  const { clock, random, settings, logger } = base;
  const slowPhases = new SlowPhaseLog(
    clock,
    logger.part('target'),
    () => getParts().lease.current?.instance,
  );
  const limiter = new SlotLimiter(USABLE_SLOT_FRACTION);
  return {
    limiter,
    kindPace: new KindPaceTracker(clock),
    unservedRuns: new UnservedRuns(clock),
    targetLoad: new TargetLoadTracker(clock, (change) => slowPhases.onChange(change)),
    admission: new AdmissionController({
      clock,
      random,
      limiter,
      rateLimiter,
      ...GATE_SHARING,
      queueWaitMs: () => QUEUE_WAIT_MS,
    }),
    queueLevels: Array.from({ length: IMPORTANCE_COUNT }, () => new CongestionLevel(clock)),
    retryBudget: new ServiceRetryBudget({
      clock,
      ...settings.retries,
      gates: () => gateCountOf(getParts()),
    }),
  };
}

/** Number of gates that share the retry budget of the target's service, including this one. */
function gateCountOf({ directory, lease }: SidecarParts): number {
  return directory.endpointCountByService.get(lease.current?.service ?? '') ?? 1;
}

function createIngressParts(base: ProcessParts, getParts: PartsGetter): IngressParts {
  const { clock, random, settings, startedAt } = base;
  const quotaLogger = base.logger.part('quota');
  return {
    split: new WeightedSplit(random),
    // No slow start: the router already prefers less loaded targets, so a cold one gets fewer calls.
    directory: createDirectory(base, () => 0),
    links: new LinkPool(settings.linkToken),
    quota: new IngressQuota({
      clock,
      startedAt,
      windowMs: settings.quota.windowMs,
      onGrantNeeded: () => getParts().follower.sendHeartbeatToLeader(),
      onHeat: (event) => logHeat(quotaLogger, event),
    }),
  };
}

function createRoomParts(
  { clock, random, settings, logger }: ProcessParts,
  admission: AdmissionController,
  lease: TargetLease,
): RoomParts | undefined {
  if (!settings.firstHopRoom) return undefined;
  const pressure = new TargetPressure(clock, () => admission.status());
  const log = logger.part('request');
  return {
    pressure,
    bottlenecks: new PathBottlenecks({
      clock,
      service: () => lease.current?.service,
      pressure,
      shares: new NestedCallShares(clock),
    }),
    room: new FirstHopRoom(clock, random, (change) => {
      const { service, isRefusing, admittedPart, pressure } = change;
      const fields = { service, admittedPart, pressure };
      if (isRefusing) log.info('A service has no room for all requests that lead to it.', fields);
      else log.info('A service has room again for all requests that lead to it.', fields);
    }),
  };
}

function createControlLink(base: ProcessParts, getParts: PartsGetter): ControlLinkParts {
  const { settings, logger, onConfiguration } = base;
  const follower = createProcessFollower(base, {
    heartbeatIntervalMs: settings.heartbeatIntervalMs,
    identity: () => identityOf(getParts()),
    onReply: ({ quota }, sentAt) => {
      if (quota !== undefined) getParts().quota.onGrants(quota, sentAt);
    },
    onConfiguration,
    onEndpoints: (view) => applyEndpoints(view, getParts().directory, getParts().links),
    onSuspects: ({ suspects }) => getParts().crashGuard.onSuspects(suspects),
    onSuperseded: () => logger.error('A newer process uses the same id.'),
  });
  return { follower, advertised: '' };
}

/** Heartbeat fields that identify this process and its target. */
function identityOf(parts: SidecarParts): Omit<Heartbeat, 'state' | 'appliedRevision'> {
  const { settings, target, lease, advertised, crashGuard, quota } = parts;
  return {
    id: settings.id,
    role: 'node',
    incarnation: target.incarnation,
    zone: settings.zone,
    // Without a target, report the service of the last one: otherwise its endpoint would stay listed unchanged.
    service: lease.current?.service ?? (target.announcedService || undefined),
    origin: advertised,
    claimEpoch: 0,
    crashNews: crashGuard.pendingUpdate(),
    quota: quota.report(),
  };
}
