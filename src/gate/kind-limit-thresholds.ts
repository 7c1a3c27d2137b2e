/**
 * Thresholds of the limit by kind at a gate: when client requests are limited, and how long they
 * may spend in the target then. Less urgent requests are limited first. Pure.
 */
import type { CallContext } from '../call/call-context.js';
import type { Importance } from '../policy/importance.js';

/**
 * Fraction of its time that a request should spend in the target at most while the target's calls
 * are congested, by importance, lowest first. Less urgent kinds fill the queue downstream up to
 * their fraction, so it is lower: otherwise urgent kinds would be limited too.
 */
const MAX_TARGET_TIME_PART: readonly number[] = [0.35, 0.35, 0.5, 0.8];
/**
 * Fraction of the target's calls above which congestion limits requests, by importance, lowest
 * first.
 */
const CONGESTION_THRESHOLDS: readonly number[] = [0.1, 0.1, 0.3, 0.5];

/**
 * A kind that takes most of its time without any congestion may take this multiple of its usual
 * time, up to {@link MAX_USUAL_PART} of its time. A bound below the duration of a run would shrink
 * the limit to its minimum, and the recovery would then admit too many.
 */
const USUAL_TIME_FACTOR = 1.05;
const MAX_USUAL_PART = 0.85;

/**
 * Longest time that a request should spend in the target, in milliseconds.
 * @param usualMs duration of its kind without congestion, in milliseconds; undefined if unknown
 * @param now monotonic milliseconds
 */
export function maxTimeInTargetMs(
  context: CallContext,
  usualMs: number | undefined,
  now: number,
): number {
  const leftMs = context.deadlineAt - now;
  const usableMs = Math.min(context.objectiveMs ?? leftMs, leftMs);
  const neededMs = Math.min(USUAL_TIME_FACTOR * (usualMs ?? 0), MAX_USUAL_PART * usableMs);
  return Math.max(MAX_TARGET_TIME_PART[context.importance]! * usableMs, neededMs);
}

/**
 * Whether a request can no longer be answered within its objective, because earlier attempts of its
 * client have used up too much of it.
 * @param usualMs duration of its kind without congestion, in milliseconds; undefined if unknown
 */
export function missesObjective(context: CallContext, usualMs: number | undefined): boolean {
  const { clientWaitedMs = 0, objectiveMs = Infinity } = context;
  return clientWaitedMs > 0 && clientWaitedMs + (usualMs ?? 0) > objectiveMs;
}

/**
 * Whether so many of the target's calls are congested that requests of this importance are limited.
 * @param level fraction of the target's calls that are congested, 0 to 1
 */
export function isCongestionAboveThreshold(level: number, importance: Importance): boolean {
  return level > CONGESTION_THRESHOLDS[importance]!;
}
