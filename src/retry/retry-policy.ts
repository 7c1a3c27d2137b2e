/** Decides whether a failed attempt may be followed by another one, and why not. */
import type { Verdict } from '../common/verdict.js';

/** What is known of an attempt that did not bring an answer. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Whether the callee refused because of overload: nothing is sent after a refusal. */
  readonly overloaded: boolean;
  /** Whether it arrived at a target, which turned it away. Default false. */
  readonly rejectedByTarget?: boolean;
  /** Whether no other target may get it: targets crash under it, or may. Default false. */
  readonly isDangerous?: boolean;
}

/** The state of the call that the decision depends on. */
export interface RetryState {
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
  /** Attempts that were sent elsewhere because they are known not to have run. */
  readonly reroutes: number;
  /** Times that the call may still be sent elsewhere after a refusal for overload. Default 0. */
  readonly overloadReroutesLeft?: number;
  /** Milliseconds left until the deadline. */
  readonly remainingMs: number;
}

/**
 * - `reroute`: the attempt never reached a back end; send it to another target at no cost.
 * - `retry`: the attempt may have run, or a target turned it away; send it again if the allowance and
 *   the budget permit.
 * - `give-up`: answer the caller now.
 */
export type RetryDecision = 'reroute' | 'retry' | 'give-up';

/** Most times one call is sent elsewhere after attempts that did not run. */
export const MAX_REROUTES = 2;

/** A retry with less time than this left would only add load. */
export const MIN_RETRY_TIME_MS = 5;

/** The decision for a failed attempt. Pure. */
export function decideRetry(attempt: FailedAttempt, state: RetryState): RetryDecision {
  // A second target would crash, too: repeated at once, such requests took two targets within 0.1 s.
  if (attempt.isDangerous === true) return 'give-up';
  if (attempt.overloaded) {
    const mayGoElsewhere = attempt.verdict === 'not-run' && state.replayable;
    if (!mayGoElsewhere || (state.overloadReroutesLeft ?? 0) <= 0) return 'give-up';
    return attempt.rejectedByTarget === true ? 'retry' : 'reroute';
  }
  if (!state.replayable) return 'give-up';
  if (state.remainingMs < MIN_RETRY_TIME_MS) return 'give-up';
  if (attempt.verdict === 'not-run') {
    if (attempt.rejectedByTarget === true) return 'retry';
    return state.reroutes < MAX_REROUTES ? 'reroute' : 'give-up';
  }
  return state.repeatable ? 'retry' : 'give-up';
}
