/** Rules for calls that find no free slot: how long a call may wait, how many may wait, and the reason for a refusal. */
import type { Importance } from '../policy/importance.js';

/** A call that found no free slot. */
export interface WaitRequest {
  readonly importance: Importance;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Maximum wait that the call specifies, in milliseconds; undefined if it specifies none. */
  readonly requestedWaitMs: number | undefined;
  /** Expected duration of the call in the target, in milliseconds. */
  readonly expectedDurationMs: number;
}

type WaitRefusal =
  /** Too little time is left until the deadline. */
  | 'deadline'
  /** No slot is expected to become free in time. */
  | 'overload';

type WaitDecision =
  | { readonly type: 'wait'; readonly maxWaitMs: number }
  | { readonly type: 'refused'; readonly reason: WaitRefusal };

/**
 * Maximum wait as multiples of the configured wait, by importance, lowest first. Important calls overtake others in the
 * queue, so with a longer wait they survive short bursts without being refused. With 1, some critical calls are refused at
 * 2.5 times the normal demand; 3 and more reduce goodput. See docs/design/admission.md.
 */
const WAIT_FACTORS: readonly number[] = [1, 1, 2, 2];
const LONGEST_WAIT_FACTOR = Math.max(...WAIT_FACTORS);
/** Minimum queue capacity, so that short bursts are not refused even if calls take long. */
const MIN_QUEUE_CAPACITY = 2;
/** Mean duration assumed before the first answer, and lower bound of the mean duration, in milliseconds. */
const DEFAULT_DURATION_MS = 1;
const MIN_DURATION_MS = 0.1;

/**
 * Decides whether and how long a call may wait: up to the wait that it specifies or else the wait of its importance, and
 * only while it can still finish before its deadline.
 * @param queueWaitMs configured maximum wait, in milliseconds
 */
export function decideWait(request: WaitRequest, queueWaitMs: number): WaitDecision {
  const { importance, remainingMs, requestedWaitMs, expectedDurationMs } = request;
  const slackMs = remainingMs - expectedDurationMs;
  const declaredMs = requestedWaitMs ?? queueWaitMs * WAIT_FACTORS[importance]!;
  const maxWaitMs = Math.min(declaredMs, slackMs);
  if (maxWaitMs > 0) return { type: 'wait', maxWaitMs };
  return { type: 'refused', reason: remainingMs < queueWaitMs ? 'deadline' : 'overload' };
}

/** Reason for refusing a call whose wait timed out. */
export function waitTimeoutReason(remainingMs: number, expectedDurationMs: number): WaitRefusal {
  return remainingMs <= expectedDurationMs ? 'deadline' : 'overload';
}

/**
 * Queue capacity: the number of calls that are expected to be admitted within the longest wait.
 * @param limit maximum number of calls in flight
 * @param meanDurationMs mean duration in the target, in milliseconds; undefined before the first answer
 * @param queueWaitMs configured maximum wait, in milliseconds
 */
export function queueCapacity(
  limit: number,
  meanDurationMs: number | undefined,
  queueWaitMs: number,
): number {
  const durationMs = Math.max(meanDurationMs ?? DEFAULT_DURATION_MS, MIN_DURATION_MS);
  const admittedPerWait = (limit * (queueWaitMs * LONGEST_WAIT_FACTOR)) / durationMs;
  return Math.max(MIN_QUEUE_CAPACITY, Math.ceil(admittedPerWait));
}
