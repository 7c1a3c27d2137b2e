/**
 * How long a call may wait for a slot, how many may wait, and what a call that was not let in is told. Pure. Asked by the
 * admission controller for each call that finds no slot; relies on it for the present limit and the times in the target.
 */
import type { Importance } from '../policy/importance.js';

/** A call that found no slot. */
export interface WaitRequest {
  readonly importance: Importance;
  /** Milliseconds left until its deadline. */
  readonly remainingMs: number;
  /** Longest wait that the call brought with it, in milliseconds; undefined where it brought none. */
  readonly requestedWaitMs: number | undefined;
  /** Time that the call is expected to be in the target, in milliseconds. */
  readonly expectedDurationMs: number;
}

/** Why a call that may not wait is refused. */
type WaitRefusal =
  /** Too little time is left for it, whatever room there is. */
  | 'deadline'
  /** There is no room in its time. */
  | 'overload';

/** Whether a call may wait. */
type WaitDecision =
  | { readonly type: 'wait'; readonly maxWaitMs: number }
  | { readonly type: 'refused'; readonly reason: WaitRefusal };

/**
 * Important calls may wait longer, in multiples of the declared wait: by importance, least first. They pass the others in
 * the queue, so a longer wait lets them through chance bursts. At 2.5 times the demand 1.1 to 3.7% of one group's critical
 * calls were refused with 1; with 2 none in 40 seeds; 3 and 4 cost two points of goodput (docs/design/admission.md).
 */
const WAIT_FACTORS: readonly number[] = [1, 1, 2, 2];
const LONGEST_WAIT_FACTOR = Math.max(...WAIT_FACTORS);
/** Calls that may wait however long calls take: a queue of none would refuse chance bursts. */
const MIN_QUEUE_CAPACITY = 2;
/** Stands for the time in the target before a first answer, and the least that is reckoned with, in milliseconds. */
const DEFAULT_DURATION_MS = 1;
const MIN_DURATION_MS = 0.1;

/**
 * How long a call may wait: no longer than declared for its importance, and only while it can still finish before its
 * deadline.
 * @param queueWaitMs the declared longest wait
 */
export function decideWait(request: WaitRequest, queueWaitMs: number): WaitDecision {
  const { importance, remainingMs, requestedWaitMs, expectedDurationMs } = request;
  const slackMs = remainingMs - expectedDurationMs;
  const declaredMs = requestedWaitMs ?? queueWaitMs * WAIT_FACTORS[importance]!;
  const maxWaitMs = Math.min(declaredMs, slackMs);
  if (maxWaitMs > 0) return { type: 'wait', maxWaitMs };
  return { type: 'refused', reason: remainingMs < queueWaitMs ? 'deadline' : 'overload' };
}

/** Why a call is refused whose wait is over. */
export function waitTimeoutReason(remainingMs: number, expectedDurationMs: number): WaitRefusal {
  return remainingMs <= expectedDurationMs ? 'deadline' : 'overload';
}

/**
 * Calls that can be expected to enter within the longest wait.
 * @param limit calls that may be in the target at once
 * @param meanDurationMs mean time in the target, in milliseconds; undefined before a first answer
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
