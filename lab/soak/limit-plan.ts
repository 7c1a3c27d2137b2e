/**
 * Plans of soak runs with targets that announce rate limits and their shutdown in their answers, along with kills, pauses and
 * stops of the sidecars beside them. Drawn from a seed.
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
  type SoakService,
} from './soak-plan.js';

/** Size and load of a fleet. */
interface FleetSize {
  readonly machinesPerService: number;
  /** Client requests per second at each machine. */
  readonly perSecond: number;
  /** Mean time between two announcements, in milliseconds. */
  readonly announcementGapMs: number;
}

const SLOTS = 64;
const FIRST_FAULT_MS = 1_000;
const PROCESS_FAULT_GAP_MS = 2_000;
const FAULT_FREE_END_MS = 9_000;
const DEADLINE_MS = 2_500;
const LEAVING_PART = 0.2;
/** Part of the faults that affect a machine whose target has announced something. */
const SAME_MACHINE_PART = 0.7;
const MIN_LIMIT_PER_SECOND = 0.3;
const MAX_LIMIT_PER_SECOND = 50;
const MIN_ANNOUNCED_MS = 4_000;
const EXTRA_ANNOUNCED_MS = 6_000;
const MIN_CHANGE_GAP_MS = 250;
const EXTRA_CHANGE_GAP_MS = 4_000;
const MIN_DOWN_MS = 100;
const EXTRA_DOWN_MS = 1_500;
const MANY_MACHINES = 50;
const PROCESS_FAULTS: readonly FaultKind[] = [
  FaultKind.KillSidecar,
  FaultKind.KillSidecar,
  FaultKind.PauseSidecar,
  FaultKind.StopSidecar,
  FaultKind.ResetLinks,
  FaultKind.SlowTargets,
  FaultKind.RejectCalls,
  FaultKind.KillControl,
];

/** Draws a plan for a few machines. @param durationMs longer than the fault-free period */
export function drawLimitPlan(seed: number, durationMs: number): SoakPlan {
  const random = createPlanRandom(seed);
  return draw(seed, durationMs, random, {
    machinesPerService: 3 + random.nextInt(2),
    perSecond: 15 + random.nextInt(20),
    announcementGapMs: 2_000,
  });
}

/** Draws a plan for about a hundred machines. @param durationMs longer than the fault-free period */
export function drawManyLimitsPlan(seed: number, durationMs: number): SoakPlan {
  const size = { machinesPerService: MANY_MACHINES, perSecond: 2, announcementGapMs: 500 };
  return draw(seed, durationMs, createPlanRandom(seed), size);
}

function draw(
  seed: number,
  durationMs: number,
  random: RandomSource,
  { machinesPerService, perSecond, announcementGapMs }: FleetSize,
): SoakPlan {
  const service = (name: string, callsPerRun: number): SoakService => ({
    name,
    machines: machinesPerService,
    slots: SLOTS,
    workMs: 5 + random.nextInt(100),
    callsPerRun,
  });
  const services = [service('front', 1), service('back', 0)];
  const untilMs = durationMs - FAULT_FREE_END_MS;
  const announcements = drawTimes(random, FIRST_FAULT_MS, untilMs, announcementGapMs).map((atMs) =>
    drawAnnouncement(random, atMs, untilMs, machinesPerService),
  );
  const others = drawTimes(random, FIRST_FAULT_MS, untilMs, PROCESS_FAULT_GAP_MS).map((atMs) =>
    drawProcessFault(random, atMs, announcements, 2 * machinesPerService),
  );
  return {
    seed,
    services,
    replicas: REPLICAS,
    perSecond,
    ...uniformDeadlines(DEADLINE_MS),
    durationMs,
    calmMs: FAULT_FREE_END_MS,
    faults: [...announcements, ...others],
    changesAtMs: [],
    hasHealthChecks: true,
  };
}

/** The first machine of each service is spared, so that the service always has room. */
function drawAnnouncement(
  random: RandomSource,
  atMs: number,
  untilMs: number,
  machinesPerService: number,
): PlannedFault {
  const isLeaving = random.next() < LEAVING_PART;
  const inService = 1 + random.nextInt(machinesPerService - 1);
  const ratio = MAX_LIMIT_PER_SECOND / MIN_LIMIT_PER_SECOND;
  return {
    kind: isLeaving ? FaultKind.LeaveByAnswers : FaultKind.AnnounceLimit,
    atMs,
    forMs: Math.min(MIN_ANNOUNCED_MS + random.nextInt(EXTRA_ANNOUNCED_MS), untilMs - atMs),
    victim: inService + machinesPerService * random.nextInt(2),
    part: 0,
    perSecond: MIN_LIMIT_PER_SECOND * ratio ** random.next(),
    gapMs: MIN_CHANGE_GAP_MS + random.nextInt(EXTRA_CHANGE_GAP_MS),
  };
}

function drawProcessFault(
  random: RandomSource,
  atMs: number,
  announcements: readonly PlannedFault[],
  machines: number,
): PlannedFault {
  const earlier = announcements.filter((each) => each.atMs < atMs && atMs < each.atMs + each.forMs);
  const isSame = random.next() < SAME_MACHINE_PART && earlier.length > 0;
  const anyMachine = random.nextInt(machines);
  return {
    kind: PROCESS_FAULTS[random.nextInt(PROCESS_FAULTS.length)]!,
    atMs,
    forMs: MIN_DOWN_MS + random.nextInt(EXTRA_DOWN_MS),
    victim: isSame ? earlier[random.nextInt(earlier.length)]!.victim : anyMachine,
    part: 0.2,
    restartAfterMs: MIN_DOWN_MS,
  };
}
