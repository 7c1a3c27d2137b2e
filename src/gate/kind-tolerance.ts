/**
 * When requests of clients are limited by kind at a gate, and how long they are to be in the target then: by importance,
 * so that the less urgent kinds make room for the others. Asked for each request by `kind-use.ts`. Pure.
 */
import type { CallContext } from '../call/call-context.js';
import type { Importance } from '../policy/importance.js';

/**
 * Part of its time that a request should spend in the target at most while calls of the target are congested, by
 * importance, least first. The less urgent kinds fill the queue downstream up to their part; with 0.4 for them and 0.5
 * for the most urgent the urgent ones were limited too. Worth of all kinds on the fan-in graph at 1.8 and 2.4 times demand
 * 0.953 and 0.773 (seed 1), 0.959 and 0.770 with 0.4, 0.5, 0.5 (seeds 1 to 3; docs/rounds/order-mesh.md,
 * docs/design/platform.md). docs/DECISIONS.md has 0.1 less and 0.1 more.
 */
const MAX_TARGET_TIME_PART: readonly number[] = [0.35, 0.35, 0.5, 0.8];
/**
 * Part of the target's calls that may be congested before requests are limited, by importance, least first: the less
 * urgent ones make room first.
 */
const CONGESTION_THRESHOLDS: readonly number[] = [0.1, 0.1, 0.3, 0.5];

/**
 * A kind whose runs take most of its time without any wait needs more than that part: this multiple of its usual time, and no
 * more than that part of its time. Held to less than a run takes, the limit fell to next to nothing, rose again once all was
 * calm, and let in too many.
 */
const USUAL_TIME_FACTOR = 1.05;
const MAX_USUAL_PART = 0.85;

/**
 * Time that a request should be in the target at most, in milliseconds.
 * @param usualMs time that its kind takes while nothing is congested, in milliseconds; undefined where that is not known
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
 * Whether a request can't be answered within its objective any more, since its client has used up too much of it.
 * @param usualMs time that its kind takes while nothing is congested, in milliseconds; undefined where that is not known
 */
export function missesObjective(context: CallContext, usualMs: number | undefined): boolean {
  const { clientWaitedMs = 0, objectiveMs = Infinity } = context;
  return clientWaitedMs > 0 && clientWaitedMs + (usualMs ?? 0) > objectiveMs;
}

/**
 * Whether so many of the target's calls are congested that requests of this importance are limited.
 * @param level part of the target's calls that are congested, 0 to 1
 */
export function isCongestionAboveThreshold(level: number, importance: Importance): boolean {
  return level > CONGESTION_THRESHOLDS[importance]!;
}
