/**
 * The parts of a sidecar, built in one place by a factory for each group of them. Some parts know each other both ways
 * (the lease tells the follower of a change, the follower announces the lease's target), so a factory gets `parts`, to be
 * called once all are built. Owns nothing itself; the program keeps what is built here until it ends.
 */
import { AdmissionController } from '../admission/admission-controller.js';
import { CongestionLevel } from '../admission/congestion-level.js';
import { SlotLimiter } from '../admission/slot-limiter.js';
import { CallStats } from '../call/call-stats.js';
import { RequestJournal } from '../call/request-journal.js';
import { StopProgress } from '../call/stop-phase.js';
import { SystemClock, type Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { RandomSource } from '../common/random.js';
import type { ConfigurationView } from '../follower/configuration-view.js';
import type { Follower } from '../follower/follower.js';
import { GATE_SHARING, QUEUE_WAIT_MS, SLOT_FRACTION } from '../gate/gate-policy.js';
import type { TargetHeaders } from '../http/target-headers.js';
import { LinkPool } from '../link/link-pool.js';
import { InstancePool } from '../membership/instance-pool.js';
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
} from './following-process.js';
import { processRandom } from './process-random.js';
import { SidecarTarget } from './sidecar-target.js';

/** What is given to a sidecar. */
export interface SidecarInputs {
  readonly settings: SidecarSettings;
  readonly logger: Logger;
  /** Names of the headers that its target reads and writes. */
  readonly headers: TargetHeaders;
  /** A configuration is in force. */
  readonly onConfiguration: (view: ConfigurationView) => void;
}

/** The process itself: its time, its random source, its start and how far its stop has come. */
interface ProcessParts extends SidecarInputs {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Wall-clock milliseconds. */
  readonly startedAt: number;
  readonly stopProgress: StopProgress;
}

/** What is counted and written down of calls. */
interface ObservabilityParts {
  readonly inboundStats: CallStats;
  readonly outboundStats: CallStats;
  readonly journal: RequestJournal;
}

/** The target of this machine: which process it is, how it is reached, and which requests it crashes under. */
interface TargetParts {
  readonly lease: TargetLease;
  readonly target: SidecarTarget;
  readonly instancePool: InstancePool;
  readonly crashGuard: CrashGuard;
}

/** The gate before the target: how many calls are let in, in which order, and how many of them may be repeats. */
interface GateParts {
  readonly limiter: SlotLimiter;
  readonly admission: AdmissionController;
  /** Of the calls that wait for the target, by importance. */
  readonly queueLevels: readonly CongestionLevel[];
  readonly retryBudget: ServiceRetryBudget;
}

/** The ingress of this machine: where requests go, and how many of a group may run. */
interface IngressParts {
  readonly split: WeightedSplit;
  readonly directory: ServiceDirectory;
  readonly links: LinkPool;
  readonly quota: IngressQuota;
}

/** What the gate and the ingress tell each other, as the target's own calls go out through the ingress. */
interface GateAndIngressParts {
  /** Of the calls that the target makes. */
  readonly downstream: CongestionLevel;
  readonly repeatedRuns: RepeatedRuns;
}

/** The link to control, and with it the configuration in force. */
interface ControlLinkParts {
  readonly follower: Follower;
  /** Origin that others reach the inbound side under; empty until that listens. */
  advertised: string;
}

/** All parts of a sidecar. */
export interface SidecarParts
  extends
    ProcessParts,
    ObservabilityParts,
    TargetParts,
    GateParts,
    IngressParts,
    GateAndIngressParts,
    ControlLinkParts {}

/** Gives all parts, once they are built. */
type PartsGetter = () => SidecarParts;

/** Builds the parts. Nothing runs and nothing listens before the program starts them. */
export function createSidecarParts(inputs: SidecarInputs): SidecarParts {
  const getParts: PartsGetter = () => parts;
  const clock = new SystemClock();
  const base: ProcessParts = {
    ...inputs,
    clock,
    random: processRandom(),
    startedAt: Date.now(),
    stopProgress: new StopProgress(clock),
  };
  const parts: SidecarParts = {
    ...base,
    ...createObservability(base),
    ...createTargetParts(base, getParts),
    ...createGateParts(base, getParts),
    ...createIngressParts(base, getParts),
    downstream: new CongestionLevel(clock),
    repeatedRuns: new RepeatedRuns(),
    ...createControlLink(base, getParts),
  };
  return parts;
}

function createObservability({ clock, logger }: ProcessParts): ObservabilityParts {
  return {
    inboundStats: new CallStats(),
    outboundStats: new CallStats(),
    journal: new RequestJournal(clock, logger.part('request')),
  };
}

function createTargetParts(base: ProcessParts, getParts: PartsGetter): TargetParts {
  const { clock, settings, logger, startedAt } = base;
  const target = new SidecarTarget(startedAt, logger, getParts);
  const lease = new TargetLease(clock, settings.targetSilentMs, () => target.onChanged());
  const crashGuard = new CrashGuard({
    clock,
    logger: logger.part('target'),
    target: () => lease.current,
    refusesConnections,
    table: () => tableOf(getParts().follower),
    onDown: (instance) => lease.onDown(instance),
    onNews: () => getParts().follower.announceChange(),
  });
  return { lease, target, instancePool: new InstancePool(clock), crashGuard };
}

function createGateParts(base: ProcessParts, getParts: PartsGetter): GateParts {
  const { clock, random, settings } = base;
  const limiter = new SlotLimiter(SLOT_FRACTION);
  return {
    limiter,
    admission: new AdmissionController({
      clock,
      random,
      limiter,
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

/** Gates that share the budget on repeats at the target's service, this one included. */
function gateCountOf({ directory, lease }: SidecarParts): number {
  return directory.machines.get(lease.current?.service ?? '') ?? 1;
}

function createIngressParts(base: ProcessParts, getParts: PartsGetter): IngressParts {
  const { clock, random, settings, startedAt } = base;
  return {
    split: new WeightedSplit(random),
    // A target that is slow at its start fills up, and so is chosen less.
    directory: createDirectory(base, () => 0),
    links: new LinkPool(settings.linkToken),
    quota: new IngressQuota({
      clock,
      startedAt,
      windowMs: settings.quota.windowMs,
      onShort: () => getParts().follower.askLeader(),
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
    onSuperseded: () => logger.error('Another process with this id is newer.'),
  });
  return { follower, advertised: '' };
}

/** What control is told at each heartbeat. */
function identityOf(parts: SidecarParts): Omit<Heartbeat, 'state' | 'appliedRevision'> {
  const { settings, target, lease, advertised, crashGuard, quota } = parts;
  return {
    id: settings.id,
    role: 'node',
    incarnation: target.incarnation,
    zone: settings.zone,
    // Without a target the last one's, or its endpoint would stay listed as it was.
    service: lease.current?.service ?? (target.announcedService || undefined),
    origin: advertised,
    claimEpoch: 0,
    crashNews: crashGuard.news(),
    quota: quota.report(),
  };
}
