/**
 * Chooses the target of an attempt. The candidates are the endpoints of the caller's subset (subset.ts), except those that
 * the call has already tried, those that are shutting down, and those that are too slow for it (expected-duration.ts).
 *
 * 1. Ejected endpoints are skipped, as long as at least half of the candidates remain.
 * 2. The cheaper of two random endpoints in the caller's zone is used if it is neither full nor slow.
 * 3. Otherwise, the cheapest of three random endpoints in all zones is used if the local one costs more than twice as much,
 *    or if there is no local one.
 * 4. Otherwise, the local endpoint is used.
 */
import type { RandomSource } from '../common/random.js';

/** Largest fraction of the candidates that is skipped: if most of them fail, the others can't take all of the load. */
const MAX_EJECTED_FRACTION = 0.5;

/** Occupancy from which a local endpoint counts as full. Below 1, so that calls leave the zone before a queue forms. */
const FULL_OCCUPANCY = 0.75;

/** Latency ratio from which a local endpoint counts as slow: a slow target may still have a low occupancy. */
const SLOW_LATENCY_RATIO = 1.6;

/**
 * A call leaves the zone only if the local endpoint costs more than this many times as much as the other one. Prevents
 * useless traffic between zones when all of them are equally loaded.
 */
const CROSS_ZONE_COST_RATIO = 2;

/** Number of random endpoints compared within the zone. With one, more calls would leave the zone. */
const LOCAL_SAMPLE_SIZE = 2;

/** Number of random endpoints compared over all zones. */
const ALL_ZONES_SAMPLE_SIZE = 3;

/** Inputs of the cost that are the same for all candidates. */
export interface CostContext {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Duration of the slow start of a new endpoint, in milliseconds; 0 disables it. */
  readonly slowStartMs: number;
  /** Mean of the limits that gates reported, in calls. Used for gates that have not reported one. */
  readonly meanLimit: number;
}

/** An endpoint that can be chosen. */
export interface Candidate {
  readonly zone: string;
  isEjected(now: number): boolean;
  /** Calls at the endpoint's gate, including the next one, divided by the gate's limit. */
  occupancy(context: CostContext): number;
  /** Latency as a multiple of the baseline over all endpoints. */
  latencyRatio(now: number): number;
  /** Relative cost of one more call; lower is better. */
  cost(context: CostContext): number;
}

export interface ChoiceOptions {
  readonly callerZone: string;
  readonly context: CostContext;
  readonly random: RandomSource;
}

/** Returns the chosen candidate; undefined if there are no candidates. */
export function chooseTarget<T extends Candidate>(
  candidates: readonly T[],
  { callerZone, context, random }: ChoiceOptions,
): T | undefined {
  const usable = selectUsable(candidates, context.now);
  const local = usable.filter(({ zone }) => zone === callerZone);
  const bestLocal = cheapestOf(LOCAL_SAMPLE_SIZE, local, context, random);
  if (bestLocal !== undefined && hasRoom(bestLocal, context) && !isSlow(bestLocal, context))
    return bestLocal;
  const best = cheapestOf(ALL_ZONES_SAMPLE_SIZE, usable, context, random);
  if (bestLocal === undefined || best === undefined) return best;
  const isWorthCrossing = bestLocal.cost(context) > CROSS_ZONE_COST_RATIO * best.cost(context);
  return isWorthCrossing ? best : bestLocal;
}

/** Whether an endpoint has room and is not ejected. */
export function isPreferable(candidate: Candidate, context: CostContext): boolean {
  return hasRoom(candidate, context) && !candidate.isEjected(context.now);
}

function selectUsable<T extends Candidate>(candidates: readonly T[], now: number): T[] {
  const usable: T[] = [];
  const ejected: T[] = [];
  for (const candidate of candidates) {
    if (candidate.isEjected(now)) ejected.push(candidate);
    else usable.push(candidate);
  }
  const least = Math.ceil(candidates.length * (1 - MAX_EJECTED_FRACTION));
  while (usable.length < least) usable.push(ejected.pop()!);
  return usable;
}

function hasRoom(candidate: Candidate, context: CostContext): boolean {
  return candidate.occupancy(context) < FULL_OCCUPANCY;
}

function isSlow(candidate: Candidate, { now }: CostContext): boolean {
  return candidate.latencyRatio(now) >= SLOW_LATENCY_RATIO;
}

/** Returns the cheapest of `count` distinct random candidates. */
function cheapestOf<T extends Candidate>(
  count: number,
  pool: readonly T[],
  context: CostContext,
  random: RandomSource,
): T | undefined {
  const left = [...pool];
  let cheapest: T | undefined;
  let leastCost = Infinity;
  for (let drawn = 0; drawn < count && left.length > 0; drawn += 1) {
    const index = random.nextInt(left.length);
    const candidate = left[index]!;
    left[index] = left[left.length - 1]!;
    left.pop();
    const cost = candidate.cost(context);
    if (cost < leastCost) {
      cheapest = candidate;
      leastCost = cost;
    }
  }
  return cheapest;
}
