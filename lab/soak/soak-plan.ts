/** The plan of a soak run: its deployment and its schedule of faults, drawn from a seed. */
import { SeededRandom, type RandomSource } from '../../src/common/random.js';

/** A kind of fault that the soak injects. */
export enum FaultKind {
  KillSidecar = 'kill-sidecar',
  PauseSidecar = 'pause-sidecar',
  StopSidecar = 'stop-sidecar',
  ReloadSidecar = 'reload-sidecar',
  KillControl = 'kill-control',
  PauseControl = 'pause-control',
  StopControl = 'stop-control',
  SilenceLinks = 'silence-links',
  ResetLinks = 'reset-links',
  RejectCalls = 'reject-calls',
  LoseAnswers = 'lose-answers',
  SlowTargets = 'slow-targets',
  /** A target crashes and restarts after the duration of the fault. */
  CrashTarget = 'crash-target',
  /** A target announces a rate limit, which changes several times. */
  AnnounceLimit = 'announce-limit',
  /** A target announces its shutdown in its answers, ends, and restarts. */
  LeaveByAnswers = 'leave-by-answers',
  /** A request, sent repeatedly, that crashes each target that runs it. */
  DeadlyRequest = 'deadly-request',
  /** A request, sent repeatedly, whose target makes a deadly call to the next service. */
  DeadlyCall = 'deadly-call',
}

/** One fault of the schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds from the start of traffic. */
  readonly atMs: number;
  readonly forMs: number;
  /** Index of the affected machine or replica, in the order of the deployment. */
  readonly victim: number;
  /** Fraction of affected calls or responses, 0 to 1, for the kinds that use it. */
  readonly part: number;
  /** Milliseconds from the exit of a stopped process to its restart. Default 0. */
  readonly restartAfterMs?: number;
  /** Rate limit that a target announces first, in requests a second. */
  readonly perSecond?: number;
  /** Milliseconds between two sends of a deadly request, or between two changes of a rate limit. */
  readonly gapMs?: number;
}

/** A service of the chain, in which each service calls the next. */
export interface SoakService {
  readonly name: string;
  readonly machines: number;
  readonly slots: number;
  readonly workMs: number;
  /** Sequential calls to the next service per request. */
  readonly callsPerRun: number;
}

/** The load of long request bodies at each machine. */
export interface UploadLoad {
  readonly perSecond: number;
  /** Number of uploads that are sent at the same time until the fault-free period. */
  readonly burst: number;
  /** Maximum length of a body, in bytes. */
  readonly maxBytes: number;
  /** Fraction of clients that leave before they have got a response, 0 to 1. */
  readonly leavingPart: number;
  /** Maximum time after which such a client leaves, in milliseconds. */
  readonly leaveWithinMs: number;
}

export interface SoakPlan {
  readonly seed: number;
  readonly services: readonly SoakService[];
  readonly replicas: number;
  /** Client requests per second at each machine. */
  readonly perSecond: number;
  readonly clientDeadlineMs: number;
  /** Timeout of the routes, in milliseconds. */
  readonly timeoutMs: number;
  /** Maximum timeout of calls that targets make, in milliseconds. */
  readonly nestedDeadlineMs: number;
  /** Duration of the traffic, including the fault-free period at its end. */
  readonly durationMs: number;
  /** Duration of the fault-free period, in milliseconds. */
  readonly calmMs: number;
  readonly faults: readonly PlannedFault[];
  /** Times of configuration changes, in milliseconds from the start of traffic. */
  readonly changesAtMs: readonly number[];
  /** Whether some client requests have a path of their own; otherwise all of a route share one. Default false. */
  readonly hasUniqueRequests?: boolean;
  /** Whether the services declare a health check, which sidecars use after a start. Default false. */
  readonly hasHealthChecks?: boolean;
  /** Uploads by clients. Default none. */
  readonly uploads?: UploadLoad;
}

/** The order is fixed: a recorded seed must draw the same plan. */
const RANDOM_KINDS: readonly FaultKind[] = [
  FaultKind.KillSidecar,
  FaultKind.PauseSidecar,
  FaultKind.StopSidecar,
  FaultKind.ReloadSidecar,
  FaultKind.KillControl,
  FaultKind.PauseControl,
  FaultKind.StopControl,
  FaultKind.SilenceLinks,
  FaultKind.ResetLinks,
  FaultKind.RejectCalls,
  FaultKind.LoseAnswers,
  FaultKind.SlowTargets,
];
const MIN_SERVICES = 2;
const EXTRA_SERVICES = 2;
const MIN_MACHINES = 2;
const EXTRA_MACHINES = 2;
/** Number of control replicas. */
export const REPLICAS = 3;
/** Mean time between the starts of faults, in milliseconds; short enough that some overlap. */
const FAULT_GAP_MS = 2_500;
const FIRST_FAULT_MS = 2_000;
const MAX_FAULT_MS = 3_000;
const MIN_FAULT_MS = 300;
const CHANGE_GAP_MS = 4_000;
/** Fault-free period at the end of a run, in which recovery is checked, in milliseconds. */
const FAULT_FREE_END_MS = 6_000;
const MIN_PART = 0.1;
const EXTRA_PART = 0.4;

const CLIENT_DEADLINE_MS = 2_500;
const TIMEOUT_MS = 2_000;
const NESTED_DEADLINE_MS = 1_500;

/** Multiplier that decorrelates consecutive seeds (2^32 divided by the golden ratio). */
const SEED_FACTOR = 0x9e3779b1;

/** Creates the random source of a plan; consecutive seeds give unrelated sequences. */
export function createPlanRandom(seed: number): RandomSource {
  return new SeededRandom(Math.imul(seed, SEED_FACTOR) >>> 0);
}

/** The same deadline for clients, routes and nested calls. */
export function uniformDeadlines(
  deadlineMs: number,
): Pick<SoakPlan, 'clientDeadlineMs' | 'timeoutMs' | 'nestedDeadlineMs'> {
  return { clientDeadlineMs: deadlineMs, timeoutMs: deadlineMs, nestedDeadlineMs: deadlineMs };
}

/**
 * Draws a plan with mixed faults.
 * @param durationMs duration of the traffic in milliseconds, longer than the fault-free period
 */
export function drawPlan(seed: number, durationMs: number): SoakPlan {
  const random = new SeededRandom(seed);
  const services = Array.from(
    { length: MIN_SERVICES + random.nextInt(EXTRA_SERVICES) },
    (_, index) => drawService(random, index),
  );
  const machines = services.reduce((total, { machines: count }) => total + count, 0);
  return {
    seed,
    services,
    replicas: REPLICAS,
    perSecond: 6 + random.nextInt(7),
    clientDeadlineMs: CLIENT_DEADLINE_MS,
    timeoutMs: TIMEOUT_MS,
    nestedDeadlineMs: NESTED_DEADLINE_MS,
    durationMs,
    calmMs: FAULT_FREE_END_MS,
    faults: drawFaults(random, durationMs - FAULT_FREE_END_MS, machines),
    changesAtMs: drawTimes(random, FIRST_FAULT_MS, durationMs - FAULT_FREE_END_MS, CHANGE_GAP_MS),
  };
}

function drawService(random: RandomSource, index: number): SoakService {
  return {
    name: `service-${index}`,
    machines: MIN_MACHINES + random.nextInt(EXTRA_MACHINES),
    slots: 16 + random.nextInt(32),
    workMs: 5 + random.nextInt(25),
    callsPerRun: 1,
  };
}

function drawFaults(random: RandomSource, untilMs: number, machines: number): PlannedFault[] {
  return drawTimes(random, FIRST_FAULT_MS, untilMs, FAULT_GAP_MS).map((atMs) => {
    const kind = RANDOM_KINDS[random.nextInt(RANDOM_KINDS.length)]!;
    const longestMs = Math.min(MAX_FAULT_MS, untilMs - atMs);
    return {
      kind,
      atMs,
      forMs: Math.max(MIN_FAULT_MS, Math.round(random.next() * longestMs)),
      victim: isControlFault(kind) ? random.nextInt(REPLICAS) : random.nextInt(machines),
      part: MIN_PART + EXTRA_PART * random.next(),
    };
  });
}

/** Whether a fault affects a control replica rather than a machine. */
export function isControlFault(kind: FaultKind): boolean {
  return [FaultKind.KillControl, FaultKind.PauseControl, FaultKind.StopControl].includes(kind);
}

/** Draws times in milliseconds with a mean distance of `gapMs`, the first at `fromMs`. */
export function drawTimes(
  random: RandomSource,
  fromMs: number,
  untilMs: number,
  gapMs: number,
): number[] {
  const times: number[] = [];
  let atMs = fromMs;
  while (atMs < untilMs) {
    times.push(Math.round(atMs));
    atMs += gapMs * 2 * random.next();
  }
  return times;
}
