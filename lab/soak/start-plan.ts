/**
 * Plans of soak runs whose faults fall into the first seconds of processes: a site whose processes start in any order, get signals, find
 * addresses in use and log output that can't be written, and are restarted by a supervisor. Drawn from a seed.
 */
import type { RandomSource } from '../../src/common/random.js';
import { createPlanRandom, uniformDeadlines, type SoakPlan } from './soak-plan.js';

/** What becomes of the standard output of a process. */
export enum LogOutput {
  File = 'file',
  /** The reader closes its end before the first line. */
  Closed = 'closed',
  /** A device that is full. */
  Full = 'full',
  /** A pipe that nobody reads. */
  Unread = 'unread',
}

export type StartSignal = 'SIGHUP' | 'SIGTERM' | 'SIGKILL';

export interface PlannedSignal {
  readonly signal: StartSignal;
  /** Milliseconds from the first start of the process. */
  readonly afterMs: number;
}

/** The first start of a process, and what goes wrong with it. */
export interface PlannedStart {
  readonly delayMs: number;
  readonly signals: readonly PlannedSignal[];
  /** Milliseconds from an end of the process to its restart. */
  readonly restartAfterMs: number;
  /** Milliseconds from its start for which another process holds one of its addresses; 0 if the address is free. */
  readonly addressHeldMs: number;
  readonly logOutput: LogOutput;
  /** Whether signals may end the process. Otherwise it gets them only once it handles them. */
  readonly mayBeLost: boolean;
}

export interface StartPlan extends SoakPlan {
  /** In the order of the control replicas and then of the machines. */
  readonly starts: readonly PlannedStart[];
}

/** Two machines lost at once leave a majority of five. */
export const CONTROL_REPLICAS = 5;
/** Number of replicas that every process is told of; they come first. */
export const SEEDS = 3;
const MIN_MACHINES = 4;
const EXTRA_MACHINES = 17;
const SLOTS = 16;
const WORK_MS = 5;
const DEADLINE_MS = 2_500;
const PER_SECOND = 1;
/** All machines are started within this time, in milliseconds; a supervisor may add to it. */
const START_SPREAD_MS = 300;
const LATE_START_PART = 0.2;
const LATE_START_MS = 3_000;
const TROUBLED_PART = 0.4;
const MAX_SIGNALS = 3;
const MIN_SIGNALS_MS = 2_000;
/** Time from the last restart until every machine serves requests, in milliseconds. */
const RECOVERY_MS = 15_000;
/** Most signals fall into the start itself. */
const EARLY_SIGNAL_PART = 0.7;
const EARLY_SIGNAL_MS = 400;
const MIN_RESTART_MS = 50;
const EXTRA_RESTART_MS = 950;
const ADDRESS_HELD_PART = 0.15;
/** An address may stay in use for this time after its last process has ended, in milliseconds. */
const MAX_ADDRESS_HELD_MS = 2_000;
const BROKEN_OUTPUT_PART = 0.2;
const BROKEN_OUTPUTS: readonly LogOutput[] = [LogOutput.Closed, LogOutput.Full, LogOutput.Unread];
const LOST_SEED_PART = 0.6;
const LOST_REPLICA_PART = 0.4;

/**
 * Draws a plan.
 * @param durationMs longest duration of the run in milliseconds: signals are sent until the time for recovery
 */
export function drawStartPlan(seed: number, durationMs: number): StartPlan {
  const random = createPlanRandom(seed);
  return planOf(seed, durationMs, MIN_MACHINES + random.nextInt(EXTRA_MACHINES), random);
}

/** Draws a plan with the fewest machines. */
export function drawSmallStartPlan(seed: number, durationMs: number): StartPlan {
  return planOf(seed, durationMs, MIN_MACHINES, createPlanRandom(seed));
}

function planOf(
  seed: number,
  durationMs: number,
  machines: number,
  random: RandomSource,
): StartPlan {
  const lost = drawLostReplicas(random);
  const signalsUntilMs = Math.max(MIN_SIGNALS_MS, durationMs - RECOVERY_MS);
  return {
    seed,
    services: [{ name: 'service-0', machines, slots: SLOTS, workMs: WORK_MS, callsPerRun: 0 }],
    replicas: CONTROL_REPLICAS,
    perSecond: PER_SECOND,
    ...uniformDeadlines(DEADLINE_MS),
    durationMs,
    calmMs: RECOVERY_MS,
    faults: [],
    changesAtMs: [],
    starts: Array.from({ length: CONTROL_REPLICAS + machines }, (_, index) =>
      drawStart(random, index >= CONTROL_REPLICAS || lost.includes(index), signalsUntilMs),
    ),
  };
}

/** Draws at most one seed and one other replica. */
function drawLostReplicas(random: RandomSource): number[] {
  const seed = random.nextInt(SEEDS);
  const other = SEEDS + random.nextInt(CONTROL_REPLICAS - SEEDS);
  const isSeedLost = random.next() < LOST_SEED_PART;
  const isOtherLost = random.next() < LOST_REPLICA_PART;
  return [...(isSeedLost ? [seed] : []), ...(isOtherLost ? [other] : [])];
}

function drawStart(random: RandomSource, mayBeLost: boolean, signalsUntilMs: number): PlannedStart {
  const isLate = random.next() < LATE_START_PART;
  const isTroubled = random.next() < TROUBLED_PART;
  const isAddressHeld = random.next() < ADDRESS_HELD_PART;
  const hasBrokenOutput = random.next() < BROKEN_OUTPUT_PART;
  const signals = Array.from({ length: 1 + random.nextInt(MAX_SIGNALS) }, () =>
    drawSignal(random, mayBeLost, signalsUntilMs),
  );
  return {
    delayMs: random.nextInt(isLate ? LATE_START_MS : START_SPREAD_MS),
    signals: isTroubled ? signals.sort((a, b) => a.afterMs - b.afterMs) : [],
    restartAfterMs: MIN_RESTART_MS + random.nextInt(EXTRA_RESTART_MS),
    addressHeldMs: isAddressHeld ? random.nextInt(MAX_ADDRESS_HELD_MS) : 0,
    logOutput: hasBrokenOutput
      ? BROKEN_OUTPUTS[random.nextInt(BROKEN_OUTPUTS.length)]!
      : LogOutput.File,
    mayBeLost,
  };
}

function drawSignal(random: RandomSource, mayBeLost: boolean, untilMs: number): PlannedSignal {
  const kinds: readonly StartSignal[] = mayBeLost ? ['SIGHUP', 'SIGTERM', 'SIGKILL'] : ['SIGHUP'];
  const isEarly = random.next() < EARLY_SIGNAL_PART;
  return {
    signal: kinds[random.nextInt(kinds.length)]!,
    afterMs: random.nextInt(isEarly ? Math.min(EARLY_SIGNAL_MS, untilMs) : untilMs),
  };
}
