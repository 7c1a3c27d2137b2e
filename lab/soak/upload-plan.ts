/**
 * Plans of soak runs with request bodies of up to megabytes, whose clients partly leave, in bursts that fill the slots of all
 * targets so that some wait for admission, along with faults of sidecars, links and targets. Drawn from a seed.
 */
import type { RandomSource } from '../../src/common/random.js';
import {
  createPlanRandom,
  drawTimes,
  FaultKind,
  REPLICAS,
  uniformDeadlines,
  type PlannedFault,
  type SoakPlan,
} from './soak-plan.js';

const MACHINES_PER_SERVICE = 3;
const FIRST_FAULT_MS = 1_000;
const FAULT_GAP_MS = 1_500;
const FAULT_FREE_END_MS = 9_000;
const DEADLINE_MS = 3_000;
const MIN_FAULT_MS = 200;
const EXTRA_FAULT_MS = 2_500;
const MIN_RESTART_MS = 100;
const EXTRA_RESTART_MS = 700;
const MIN_BODY_BYTES = 200_000;
const EXTRA_BODY_BYTES = 1_800_000;
const MAX_LEAVING_PART = 0.5;
const LEAVE_WITHIN_MS = 1_500;
/** Utilization of the front targets without faults, 0 to 1. */
const MIN_UTILIZATION = 0.15;
const EXTRA_UTILIZATION = 0.2;
/** Mean time in which a target reads an upload that is sent in parts, in milliseconds. */
const BODY_READ_MS = 250;
const MS_PER_SECOND = 1_000;
const FAULTS: readonly FaultKind[] = [
  FaultKind.SlowTargets,
  FaultKind.SlowTargets,
  FaultKind.SlowTargets,
  FaultKind.KillSidecar,
  FaultKind.PauseSidecar,
  FaultKind.StopSidecar,
  FaultKind.ReloadSidecar,
  FaultKind.SilenceLinks,
  FaultKind.ResetLinks,
  FaultKind.CrashTarget,
  FaultKind.RejectCalls,
  FaultKind.KillControl,
];

/** Draws a plan. @param durationMs duration of the traffic in milliseconds, longer than the fault-free period */
export function drawUploadPlan(seed: number, durationMs: number): SoakPlan {
  const random = createPlanRandom(seed);
  const slots = 3 + random.nextInt(4);
  const workMs = 50 + random.nextInt(100);
  const perSecond = drawRate(random, slots, 2 * workMs);
  return {
    seed,
    services: [
      { name: 'front', machines: MACHINES_PER_SERVICE, slots, workMs, callsPerRun: 1 },
      { name: 'back', machines: MACHINES_PER_SERVICE, slots: 64, workMs, callsPerRun: 0 },
    ],
    replicas: REPLICAS,
    perSecond,
    ...uniformDeadlines(DEADLINE_MS),
    durationMs,
    calmMs: FAULT_FREE_END_MS,
    faults: drawFaults(random, durationMs - FAULT_FREE_END_MS),
    changesAtMs: [],
    hasHealthChecks: true,
    uploads: {
      perSecond,
      burst: slots * MACHINES_PER_SERVICE,
      maxBytes: MIN_BODY_BYTES + random.nextInt(EXTRA_BODY_BYTES),
      leavingPart: MAX_LEAVING_PART * random.next(),
      leaveWithinMs: LEAVE_WITHIN_MS,
    },
  };
}

/**
 * Draws how many short requests, and as many uploads, arrive at each machine per second.
 * @param runMs duration of a run with its nested call, without the reading of the body, in milliseconds
 */
function drawRate(random: RandomSource, slots: number, runMs: number): number {
  const shortAndUploadMs = 2 * runMs + BODY_READ_MS;
  const capacityPerSecond = (MACHINES_PER_SERVICE * slots * MS_PER_SECOND) / shortAndUploadMs;
  const utilization = MIN_UTILIZATION + EXTRA_UTILIZATION * random.next();
  return (utilization * capacityPerSecond) / (2 * MACHINES_PER_SERVICE);
}

function drawFaults(random: RandomSource, untilMs: number): PlannedFault[] {
  return drawTimes(random, FIRST_FAULT_MS, untilMs, FAULT_GAP_MS).map((atMs) => ({
    kind: FAULTS[random.nextInt(FAULTS.length)]!,
    atMs,
    forMs: MIN_FAULT_MS + random.nextInt(EXTRA_FAULT_MS),
    victim: random.nextInt(2 * MACHINES_PER_SERVICE),
    part: 0.2,
    restartAfterMs: MIN_RESTART_MS + random.nextInt(EXTRA_RESTART_MS),
  }));
}
