/**
 * Restricts the candidates for a call that can't be protected in another way to the targets where it is expected to be
 * answered before its deadline. Targets of one service differ in speed, and a few runs take many times as long as usual: at a
 * slow target these exceed the timeout of the route, at a fast one they fit. Does nothing unless a target is known to be too
 * slow for the call and few runs are long: if all are, because of load, the choice by load is better. Asked for each attempt,
 * before the choice among the candidates (target-choice.ts).
 *
 * - A call fits a target if a long run there takes no longer than the time that the call has left. The duration of a long run
 *   is the usual one at the target times a ratio that is the same for all targets: the longest run of a single target varies
 *   by large factors, and at slow targets it is cut off by the deadline.
 * - Where it fits nowhere, the targets that are expected to finish soonest are used.
 * - The fuller a target is, the less likely it is used, so that callers with the same knowledge don't fill the fastest one.
 * - Targets of unknown pace get a few calls, by which callers learn their pace: beside those where the call fits, or instead of
 *   those that are too slow, which may be all that a caller knows if they are the ones of its zone.
 */
import type { KindPace } from '../call/outcome.js';
import type { RandomSource } from '../common/random.js';
import type { Candidate, CostContext } from './target-choice.js';

/** Occupancy up to which a target is used without reservation. */
const FREE_OCCUPANCY = 0.4;

/** Occupancy from which a target is not preferred, however fast it is. Below 1, so that no queue forms there. */
const FULL_OCCUPANCY = 0.75;

/** Targets whose expected duration is at most this multiple of the shortest count as equally fast. */
const SOONEST_RATIO = 1.25;

/** Fraction of the choices in which targets of unknown pace are candidates. */
const EXPLORATION_FRACTION = 0.2;

/** Shorter durations count as this many milliseconds, so that ratios of them are meaningful. */
const MIN_DURATION_MS = 1;

/** Quantile, over the targets, of the ratio of long to usual durations: not raised by a few targets in trouble. */
const LONG_RUN_QUANTILE = 0.75;

/**
 * Ratio of long to usual durations from which targets are selected. Below it, all runs take about as long, and the targets
 * differ mainly by the load of the services that they call: the shortest duration would gather the calls at a few targets.
 */
const MIN_LONG_RUN_RATIO = 2;

/** A candidate that may know how long calls take there. */
export interface PacedCandidate extends Candidate {
  /** Durations that the gate reported for a traffic class; undefined if they are unknown or outdated. */
  pace(trafficClass: string, now: number): KindPace | undefined;
  /** Whether the gate has lately refused calls of a traffic class for overload. */
  isOverloaded(trafficClass: string, now: number): boolean;
}

/** The call for which candidates are selected. */
export interface TimedCall {
  readonly trafficClass: string;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
}

export interface DurationOptions {
  readonly context: CostContext;
  readonly random: RandomSource;
}

/** A target and the expected durations of the call there. */
interface Estimate<T> {
  readonly candidate: T;
  /** Expected duration of a usual run, in milliseconds; undefined if it is unknown. */
  readonly usualMs: number | undefined;
}

type KnownEstimate<T> = Estimate<T> & { readonly usualMs: number };

/** Returns the candidates to choose from: all of them if the call fits everywhere, or if no better one has room. */
export function selectByDuration<T extends PacedCandidate>(
  candidates: readonly T[],
  { trafficClass, remainingMs }: TimedCall,
  { context, random }: DurationOptions,
): readonly T[] {
  const paces = candidates.map((candidate) => candidate.pace(trafficClass, context.now));
  const knownPaces = paces.filter((pace) => pace !== undefined);
  if (knownPaces.length === 0) return candidates;
  const longRunRatio = typicalLongRunRatio(knownPaces);
  if (longRunRatio < MIN_LONG_RUN_RATIO) return candidates;
  const meanMs = meanUsualMs(knownPaces);
  const estimates = candidates.map((candidate, index) =>
    estimateDuration(candidate, paces[index], { meanMs, now: context.now }),
  );
  const fits = ({ usualMs }: KnownEstimate<T>): boolean => usualMs * longRunRatio <= remainingMs;
  if (estimates.filter(isKnown).every(fits)) return candidates;
  const isRefusing = ({ candidate }: Estimate<T>): boolean =>
    candidate.isEjected(context.now) || candidate.isOverloaded(trafficClass, context.now);
  const withRoom = estimates.filter(
    (estimate) => !isRefusing(estimate) && drawRoom(estimate.candidate, context, random),
  );
  const fitting = withRoom.filter(isKnown).filter(fits);
  const explored = selectExplored(withRoom, random);
  const selected = fitting.length > 0 ? [...fitting, ...explored] : explored;
  if (selected.length === 0) selected.push(...selectSoonest(withRoom, meanMs));
  return selected.length === 0 ? candidates : selected.map(({ candidate }) => candidate);
}

function meanUsualMs(paces: readonly KindPace[]): number {
  const totalMs = paces.reduce((total, { usualMs }) => total + usualMs, 0);
  return Math.max(MIN_DURATION_MS, totalMs / paces.length);
}

function typicalLongRunRatio(paces: readonly KindPace[]): number {
  const ratios = paces.map(({ usualMs, longMs }) => longMs / Math.max(MIN_DURATION_MS, usualMs));
  ratios.sort((a, b) => a - b);
  return ratios[Math.floor(LONG_RUN_QUANTILE * (ratios.length - 1))]!;
}

/** @param meanMs mean of the usual durations at the targets where it is known, in milliseconds */
function estimateDuration<T extends PacedCandidate>(
  candidate: T,
  pace: KindPace | undefined,
  { meanMs, now }: { readonly meanMs: number; readonly now: number },
): Estimate<T> {
  if (pace === undefined) return { candidate, usualMs: undefined };
  // The latency ratio contains the pace of the target; what exceeds it is a present trouble.
  const excess = candidate.latencyRatio(now) / Math.max(1, pace.usualMs / meanMs);
  return { candidate, usualMs: Math.max(MIN_DURATION_MS, pace.usualMs) * Math.max(1, excess) };
}

/** Whether a target may be preferred; less likely the fuller it is. Draws a random number only in between. */
function drawRoom(candidate: Candidate, context: CostContext, random: RandomSource): boolean {
  const occupancy = candidate.occupancy(context);
  if (occupancy < FREE_OCCUPANCY) return true;
  if (occupancy >= FULL_OCCUPANCY) return false;
  return random.next() > (occupancy - FREE_OCCUPANCY) / (FULL_OCCUPANCY - FREE_OCCUPANCY);
}

function selectExplored<T>(estimates: readonly Estimate<T>[], random: RandomSource): Estimate<T>[] {
  const unknown = estimates.filter((estimate) => !isKnown(estimate));
  if (unknown.length === 0 || random.next() >= EXPLORATION_FRACTION) return [];
  return unknown;
}

/** @param unknownMs duration expected where it is unknown, in milliseconds */
function selectSoonest<T>(estimates: readonly Estimate<T>[], unknownMs: number): Estimate<T>[] {
  const durations = estimates.map(({ usualMs = unknownMs }) => usualMs);
  const bound = SOONEST_RATIO * Math.min(...durations);
  return estimates.filter((_, index) => durations[index]! <= bound);
}

function isKnown<T>(estimate: Estimate<T>): estimate is KnownEstimate<T> {
  return estimate.usualMs !== undefined;
}
