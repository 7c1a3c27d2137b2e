/** What a soak run does, drawn from its seed: the deployment, and which faults come when. Pure. */
import { SeededRandom, type RandomSource } from '../../src/common/random.js';

/** A fault that the soak injects from outside. */
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
  /** A target ends by itself and is back after the fault's time. */
  CrashTarget = 'crash-target',
  /** A request comes again and again, and every target that begins it crashes; in the second case the calls that it causes. */
  DeadlyRequest = 'deadly-request',
  DeadlyCall = 'deadly-call',
}

/** One fault of the schedule. */
export interface PlannedFault {
  readonly kind: FaultKind;
  /** Milliseconds from the start of traffic. */
  readonly atMs: number;
  readonly forMs: number;
  /** Number of the machine or replica that it hits, in the order of the deployment. */
  readonly victim: number;
  /** Part of the calls or answers, 0 to 1, where the kind has one. */
  readonly part: number;
  /** Milliseconds between the end of a stopped process and its next start. Default 0. */
  readonly restartAfterMs?: number;
  /** Milliseconds from one arrival of a deadly request to the next. */
  readonly gapMs?: number;
}

/** A service of the chain; each calls the next. */
export interface SoakService {
  readonly name: string;
  readonly machines: number;
  readonly slots: number;
  readonly workMs: number;
  /** Calls that each run makes to the next service, one after the other. */
  readonly callsPerRun: number;
}

/** A run. */
export interface SoakPlan {
  readonly seed: number;
  readonly services: readonly SoakService[];
  readonly replicas: number;
  /** Requests of clients a second, at each machine. */
  readonly perSecond: number;
  /** How long clients wait, and the time limit of the routes, in milliseconds. */
  readonly clientDeadlineMs: number;
  readonly timeoutMs: number;
  /** Longest time that a target gives its own calls, in milliseconds. */
  readonly nestedDeadlineMs: number;
  /** Length of the traffic, of which the last part has no faults. */
  readonly durationMs: number;
  readonly calmMs: number;
  readonly faults: readonly PlannedFault[];
  /** When the operator changes the configuration, from the start of traffic. */
  readonly changesAtMs: readonly number[];
  /** Whether some requests of clients come once only; otherwise all of a route are alike. Default false. */
  readonly hasUniqueRequests?: boolean;
}

/** Fixed, so that the plans of recorded seeds stay what they are. */
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
/** Control replicas of every run. */
export const REPLICAS = 3;
/** A mean of one fault in this time, so that some overlap, in milliseconds. */
const FAULT_GAP_MS = 2_500;
const FIRST_FAULT_MS = 2_000;
const MAX_FAULT_MS = 3_000;
const MIN_FAULT_MS = 300;
const CHANGE_GAP_MS = 4_000;
/** At the end nothing is wrong, so that recovery can be judged. */
const FAULT_FREE_END_MS = 6_000;
const MIN_PART = 0.1;
const EXTRA_PART = 0.4;

const CLIENT_DEADLINE_MS = 2_500;
const TIMEOUT_MS = 2_000;
const NESTED_DEADLINE_MS = 1_500;

/** Spreads seeds that follow each other: their first draws are alike otherwise (the golden ratio, in 32 bits). */
const SEED_FACTOR = 0x9e3779b1;

/** The random source of a plan, unlike those of the seeds before and after. */
export function createPlanRandom(seed: number): RandomSource {
  return new SeededRandom(Math.imul(seed, SEED_FACTOR) >>> 0);
}

/** Draws a run of all kinds of faults. @param durationMs length of the traffic in milliseconds, longer than the calm at its end */
export function drawPlan(seed: number, durationMs: number): SoakPlan {
  const random = new SeededRandom(seed);
  const services = Array.from({ length: MIN_SERVICES + random.below(EXTRA_SERVICES) }, (_, index) =>
    drawService(random, index),
  );
  const machines = services.reduce((total, { machines: count }) => total + count, 0);
  return {
    seed,
    services,
    replicas: REPLICAS,
    perSecond: 6 + random.below(7),
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
    machines: MIN_MACHINES + random.below(EXTRA_MACHINES),
    slots: 16 + random.below(32),
    workMs: 5 + random.below(25),
    callsPerRun: 1,
  };
}

function drawFaults(random: RandomSource, untilMs: number, machines: number): PlannedFault[] {
  return drawTimes(random, FIRST_FAULT_MS, untilMs, FAULT_GAP_MS).map((atMs) => {
    const kind = RANDOM_KINDS[random.below(RANDOM_KINDS.length)]!;
    const longestMs = Math.min(MAX_FAULT_MS, untilMs - atMs);
    return {
      kind,
      atMs,
      forMs: Math.max(MIN_FAULT_MS, Math.round(random.next() * longestMs)),
      victim: isControlFault(kind) ? random.below(REPLICAS) : random.below(machines),
      part: MIN_PART + EXTRA_PART * random.next(),
    };
  });
}

/** Whether a fault hits a control replica, and not a machine with a target. */
export function isControlFault(kind: FaultKind): boolean {
  return [FaultKind.KillControl, FaultKind.PauseControl, FaultKind.StopControl].includes(kind);
}

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
