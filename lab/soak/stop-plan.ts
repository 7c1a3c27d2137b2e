/**
 * Plans of soak runs whose only faults are planned stops and reloads of sidecars, partly overlapping, while targets
 * make many sequential calls. Drawn from a seed.
 */
import type { RandomSource } from '../../src/common/random.js';
import {
  drawTimes,
  FaultKind,
  createPlanRandom,
  REPLICAS,
  uniformDeadlines,
  type PlannedFault,
  type SoakPlan,
} from './soak-plan.js';

const FRONT_MACHINES = 3;
const SLOTS = 64;
const FIRST_STOP_MS = 1_000;
const MIN_RESTART_MS = 200;
const EXTRA_RESTART_MS = 800;
const RELOAD_PART = 0.15;
const FAULT_FREE_END_MS = 10_000;
const DEADLINE_MS = 6_000;

/** The load: many short requests, or few that take seconds. */
interface Load {
  readonly perSecond: number;
  readonly callsPerRun: number;
  readonly callMs: number;
  readonly stopGapMs: number;
}

/** Draws a plan. @param durationMs duration of the traffic in milliseconds, longer than the fault-free period */
export function drawStopPlan(seed: number, durationMs: number): SoakPlan {
  const random = createPlanRandom(seed);
  const load = random.next() < 0.5 ? longRuns(random) : shortRuns(random);
  const { perSecond, callsPerRun, callMs, stopGapMs } = load;
  const backMachines = 2 + random.nextInt(2);
  return {
    seed,
    services: [
      { name: 'front', machines: FRONT_MACHINES, slots: SLOTS, workMs: 10, callsPerRun },
      { name: 'back', machines: backMachines, slots: SLOTS, workMs: callMs, callsPerRun: 0 },
    ],
    replicas: REPLICAS,
    perSecond,
    ...uniformDeadlines(DEADLINE_MS),
    durationMs,
    calmMs: FAULT_FREE_END_MS,
    faults: drawStops(
      random,
      durationMs - FAULT_FREE_END_MS,
      stopGapMs,
      FRONT_MACHINES + backMachines,
    ),
    changesAtMs: [],
  };
}

/** Requests of 3 to 5 s, at a rate that two of the front machines can sustain. */
function longRuns(random: RandomSource): Load {
  const callsPerRun = 9 + random.nextInt(6);
  const runMs = 3_000 + random.nextInt(2_000);
  return {
    perSecond: 1 + random.nextInt(2),
    callsPerRun,
    callMs: Math.round(runMs / callsPerRun),
    stopGapMs: 2_000 + random.nextInt(2_000),
  };
}

function shortRuns(random: RandomSource): Load {
  return {
    perSecond: 10 + random.nextInt(15),
    callsPerRun: 1 + random.nextInt(8),
    callMs: 20 + random.nextInt(100),
    stopGapMs: 2_000 + random.nextInt(2_000),
  };
}

function drawStops(
  random: RandomSource,
  untilMs: number,
  gapMs: number,
  machines: number,
): PlannedFault[] {
  return drawTimes(random, FIRST_STOP_MS, untilMs, gapMs).map((atMs) => ({
    kind: random.next() < RELOAD_PART ? FaultKind.ReloadSidecar : FaultKind.StopSidecar,
    atMs,
    forMs: 0,
    victim: random.nextInt(machines),
    part: 0,
    restartAfterMs: MIN_RESTART_MS + random.nextInt(EXTRA_RESTART_MS),
  }));
}
