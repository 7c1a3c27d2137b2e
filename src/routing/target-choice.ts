/**
 * The rule that chooses the target of an attempt. In order:
 *
 * 1. Only endpoints of the caller's subset are known (subset.ts), and of those the balancer passes in the ones that the
 *    call has not tried and that have not said that they leave.
 * 2. Ejected endpoints are passed over, unless that is more than half of them.
 * 3. The better of two random endpoints of the caller's zone, if it has room and is not slow.
 * 4. Else the best of three random endpoints of all zones, if the one of the zone costs more than twice as much.
 * 5. Else the one of the zone.
 *
 * Pure: what is known of the endpoints and the random source are passed in. Relies on gates that report their load with
 * each answer; what is not known yet is taken for usual.
 */
import type { RandomSource } from '../common/random.js';

/**
 * Largest part of the candidates that is passed over as ejected: where most fail, the rest would have all of the load.
 */
const MAX_EJECTED_FRACTION = 0.5;

/**
 * Occupancy from which an endpoint of the zone has no room. Lower, calls cross zones while there is room here; without it
 * queues form here while others stand empty: 0.75 to 0.77 of the requests in time in place of 0.89 to 0.93. 0.5 and 0.9 do as
 * well as 0.75, within the spread of the seeds (docs/design/routing.md, fan-in graph at 1.8 times the usual demand).
 */
const FULL_OCCUPANCY = 0.75;

/**
 * Latency ratio from which an endpoint of the zone is slow: without such a bound calls stayed at targets 12 times slower
 * than usual, since those had room.: no target is so slow in the simulated overloads.
 */
const SLOW_LATENCY_RATIO = 1.6;

/**
 * A call leaves the zone only if the endpoint there costs more than this many times as much: where all zones are full
 * alike, crossing costs traffic between zones and brings nothing. Simulated sidecars, fan-in graph at 1.4, 1.8 and 2.4
 * times the usual demand, seed 1: with 2, parts of 0.166, 0.146 and 0.106 of the attempts cross, for worth of 1.000, 0.960
 * and 0.771; without the condition 0.308, 0.353 and 0.370, for 1.000, 0.965 and 0.765; with 3 the worth at 2.4 is 0.757.
 */
const CROSS_ZONE_COST_RATIO = 2;

/**
 * Random endpoints compared in the zone. With one, 0.25 of the attempts cross zones in place of 0.20 (docs/design/routing.md,
 * deep search graph).
 */
const LOCAL_SAMPLE_SIZE = 2;

/**
 * Random endpoints compared over all zones, of which some may be full or slow. 2 and 8 do as well, within the spread of the
 * seeds (docs/design/routing.md).
 */
const ALL_ZONES_SAMPLE_SIZE = 3;

/** What the values of all endpoints are reckoned with at one moment. */
export interface CostContext {
  /** Monotonic milliseconds. */
  readonly now: number;
  /** Time over which a new endpoint takes up its load, in milliseconds; 0: at once. */
  readonly slowStartMs: number;
  /** Mean limit of the gates that have reported, in calls; for gates that have not. */
  readonly meanLimit: number;
}

/** An endpoint that can be chosen. */
export interface Candidate {
  readonly zone: string;
  isEjected(now: number): boolean;
  /** Calls at its gate with one more, relative to its limit: 1 is full. */
  occupancy(context: CostContext): number;
  /** Latency as a multiple of what is usual: 1 for an endpoint like the others. */
  latencyRatio(now: number): number;
  /** Expected cost of one more call; only comparisons mean anything. */
  cost(context: CostContext): number;
}

/** What a choice is made from. */
export interface ChoiceOptions {
  readonly callerZone: string;
  readonly context: CostContext;
  readonly random: RandomSource;
}

/** @returns undefined if there is no candidate */
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

/** The cheapest of `count` different random candidates. */
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
    const index = random.below(left.length);
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
