/**
 * Plans of soak runs with crashing targets: spontaneous crashes, and requests that crash each target that runs them,
 * along with kills and restarts of sidecars and control replicas. Drawn from a seed.
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

const FRONT_MACHINES = 4;
const BACK_MACHINES = 3;
const SLOTS = 48;
const FIRST_FAULT_MS = 1_000;
const FAULT_GAP_MS = 2_500;
/** Length of the fault-free period at the end of a run, in milliseconds. */
const FAULT_FREE_END_MS = 9_000;
const DEADLINE_MS = 2_500;
const DEADLY_KINDS: readonly FaultKind[] = [FaultKind.DeadlyRequest, FaultKind.DeadlyCall];
const OTHER_KINDS: readonly FaultKind[] = [
  FaultKind.CrashTarget,
  FaultKind.CrashTarget,
  FaultKind.KillSidecar,
  FaultKind.StopSidecar,
  FaultKind.KillControl,
];

/** Draws a plan. @param durationMs duration of the traffic in milliseconds, longer than the fault-free period */
export function drawCrashPlan(seed: number, durationMs: number): SoakPlan {
  const random = createPlanRandom(seed);
  const untilMs = durationMs - FAULT_FREE_END_MS;
  return {
    seed,
    services: [
      { name: 'front', machines: FRONT_MACHINES, slots: SLOTS, workMs: 20, callsPerRun: 1 },
      { name: 'back', machines: BACK_MACHINES, slots: SLOTS, workMs: 15, callsPerRun: 0 },
    ],
    replicas: REPLICAS,
    perSecond: 8 + random.nextInt(8),
    ...uniformDeadlines(DEADLINE_MS),
    durationMs,
    calmMs: FAULT_FREE_END_MS,
    faults: [...drawDeadlyFaults(random, untilMs), ...drawOtherFaults(random, untilMs)],
    changesAtMs: [],
    hasUniqueRequests: true,
  };
}

/** Draws one or two deadly requests, each repeated until the fault-free period begins. */
function drawDeadlyFaults(random: RandomSource, untilMs: number): PlannedFault[] {
  return Array.from({ length: 1 + random.nextInt(2) }, (_, index) => {
    const atMs = FIRST_FAULT_MS + random.nextInt(3_000);
    return {
      kind: DEADLY_KINDS[random.nextInt(DEADLY_KINDS.length)]!,
      atMs,
      forMs: untilMs - atMs,
      victim: index,
      part: 0,
      gapMs: 300 + random.nextInt(800),
    };
  });
}

function drawOtherFaults(random: RandomSource, untilMs: number): PlannedFault[] {
  return drawTimes(random, FIRST_FAULT_MS, untilMs, FAULT_GAP_MS).map((atMs) => ({
    kind: OTHER_KINDS[random.nextInt(OTHER_KINDS.length)]!,
    atMs,
    forMs: 300 + random.nextInt(2_000),
    victim: random.nextInt(FRONT_MACHINES + BACK_MACHINES),
    part: 0,
  }));
}
