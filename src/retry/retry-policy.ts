/**
 * Decides whether a call is sent again: after a failed attempt ({@link decideNextStep}), and while an attempt takes much
 * longer than usual ({@link decideHedgeDelay}, then {@link decideHedge}). Pure: the caller carries out the decision.
 *
 * - Reroute: sends a call to another target that is known not to have reached any. Costs no retry.
 * - Retry: sends a call again that may have reached a target. Costs one retry.
 * - Hedged request: sends a call again while the first attempt is still in flight. Costs one retry.
 * - Repeat: an arrival at a target after one that may already have reached a target, caused by a retry, a hedged request or
 *   a call of a repeated run. Where callers have no retry budget, gates limit repeats (service-retry-budget.ts).
 */
import type { Verdict } from '../common/verdict.js';

/** Maximum number of reroutes of one call, except after refusals for overload. Enough for two targets that are stopping. */
export const MAX_REROUTES = 2;

/** Minimum time left for another attempt, in milliseconds. With less time it would only add load. */
export const MIN_RETRY_TIME_MS = 5;

/**
 * Minimum hedge delay, in milliseconds. Short latencies vary by large factors, so a shorter delay would spend retries on
 * answers that are about to arrive.
 */
export const MIN_HEDGE_DELAY_MS = 60;

/**
 * Maximum hedge delay as a fraction of the time left. A hedged request that starts later has too little time to be answered.
 */
export const MAX_HEDGE_DELAY_FRACTION = 0.7;

/** Why a call is not sent again. */
export enum GiveUpReason {
  /** Targets crash, or may crash, while they handle the request, so no other target may get it. */
  Dangerous = 'dangerous',
  /** Refused for overload by as many gates as may be tried, or possibly run under overload. */
  Overload = 'overload',
  /** The request body can't be sent again from the start. */
  NotReplayable = 'not-replayable',
  /** Less than {@link MIN_RETRY_TIME_MS} is left. */
  NoTime = 'no-time',
  /** It was rerouted {@link MAX_REROUTES} times. */
  ReroutesUsed = 'reroutes-used',
  /** It may have run and is not repeatable. */
  NotRepeatable = 'not-repeatable',
  /** The retry allowance of the request is spent or lent. */
  NoAllowance = 'no-allowance',
  /** The retry budget of this process for the service is spent. */
  NoBudget = 'no-budget',
}

/** An attempt that was not answered by a target. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Whether the callee refused because of overload, its own or downstream. */
  readonly overloaded: boolean;
  /** Whether it reached a target, which rejected it. */
  readonly rejectedByTarget: boolean;
  /** Whether targets crash, or may crash, while they handle the request. */
  readonly isDangerous: boolean;
  /** Whether it was refused, without having run, only because of the target: its rate limit, or a slow phase. */
  readonly isTargetSpecific: boolean;
}

/** State of the two limits on retries and hedged requests. */
export interface RetryLimitState {
  /** Retries left in the allowance of the request. */
  readonly retriesLeft: number;
  /** Whether the budget of this process for the service has a retry left. */
  readonly hasBudget: boolean;
}

/** The state of the call that {@link decideNextStep} depends on. */
export interface CallState extends RetryLimitState {
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
  /** Reroutes so far, for any reason. */
  readonly reroutes: number;
  /** Limit on `reroutes` after a refusal for overload. */
  readonly maxOverloadReroutes: number;
  /** Milliseconds left until the deadline. */
  readonly remainingMs: number;
}

/** What follows a failed attempt. */
export type NextStep =
  /** Send the call to another target without spending a retry. */
  | { readonly type: 'reroute' }
  /** Send the call to another target and spend one retry of the allowance and of the budget. */
  | { readonly type: 'retry' }
  /** Refuse the call. */
  | { readonly type: 'give-up'; readonly reason: GiveUpReason };

/** Decides what follows a failed attempt. The first rule that applies wins. */
export function decideNextStep(attempt: FailedAttempt, state: CallState): NextStep {
  // Another target would crash, too, within a tenth of a second.
  if (attempt.isDangerous) return giveUp(GiveUpReason.Dangerous);
  if (attempt.overloaded) return afterOverload(attempt, state);
  if (!state.replayable) return giveUp(GiveUpReason.NotReplayable);
  if (state.remainingMs < MIN_RETRY_TIME_MS) return giveUp(GiveUpReason.NoTime);
  // Not limited in number: a call tries each target at most once.
  if (attempt.isTargetSpecific) return REROUTE;
  if (attempt.verdict === 'not-run') {
    if (attempt.rejectedByTarget) return retryIfAllowed(state);
    return state.reroutes < MAX_REROUTES ? REROUTE : giveUp(GiveUpReason.ReroutesUsed);
  }
  return state.repeatable ? retryIfAllowed(state) : giveUp(GiveUpReason.NotRepeatable);
}

/** A call that may have run is not sent again under overload: that would add to the load. */
function afterOverload(attempt: FailedAttempt, state: CallState): NextStep {
  if (attempt.verdict !== 'not-run') return giveUp(GiveUpReason.Overload);
  if (!state.replayable) return giveUp(GiveUpReason.NotReplayable);
  if (state.reroutes >= state.maxOverloadReroutes) return giveUp(GiveUpReason.Overload);
  // Free reroutes of calls that reached a target would exceed the retry budget of the service.
  return attempt.rejectedByTarget ? retryIfAllowed(state) : REROUTE;
}

/** The state of the call that {@link decideHedgeDelay} depends on. */
export interface HedgeDelayState {
  /** Multiple of the usual latency after which a call is hedged; undefined: never. */
  readonly delayFactor: number | undefined;
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
  /** Retries left in the allowance of the request. */
  readonly retriesLeft: number;
  /** Usual latency of the traffic class at the service, in milliseconds; undefined if unknown. */
  readonly usualLatencyMs: number | undefined;
  /** Milliseconds left until the deadline. */
  readonly remainingMs: number;
}

/** @returns the delay in milliseconds after which the next attempt is hedged; undefined if it is not hedged */
export function decideHedgeDelay(state: HedgeDelayState): number | undefined {
  const { delayFactor, usualLatencyMs } = state;
  if (delayFactor === undefined || usualLatencyMs === undefined) return undefined;
  if (!state.repeatable || !state.replayable || state.retriesLeft === 0) return undefined;
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, delayFactor * usualLatencyMs);
  return delayMs > MAX_HEDGE_DELAY_FRACTION * state.remainingMs ? undefined : delayMs;
}

/** The state of the call that {@link decideHedge} depends on, once the hedge delay has passed. */
export interface HedgeState extends RetryLimitState {
  /** Whether the gate of the other target accepts repeats, according to its latest report. */
  readonly targetAcceptsRepeats: boolean;
}

/** Whether a hedged request is sent. */
export type HedgeDecision =
  | { readonly type: 'hedge' }
  /** Keep waiting for the first attempt only. */
  | { readonly type: 'wait'; readonly reason: WaitReason };

/** Why a call whose hedge delay has passed is not hedged. */
export type WaitReason =
  /** A hedged request would be refused and waste a retry. */
  'target-refuses-repeats' | GiveUpReason.NoAllowance | GiveUpReason.NoBudget;

/** Decides whether a hedged request is sent. The first rule that applies wins. */
export function decideHedge(state: HedgeState): HedgeDecision {
  if (!state.targetAcceptsRepeats) return { type: 'wait', reason: 'target-refuses-repeats' };
  const exhausted = findExhaustedLimit(state);
  return exhausted === undefined ? { type: 'hedge' } : { type: 'wait', reason: exhausted };
}

const REROUTE: NextStep = { type: 'reroute' };

function retryIfAllowed(funds: RetryLimitState): NextStep {
  const exhausted = findExhaustedLimit(funds);
  return exhausted === undefined ? { type: 'retry' } : giveUp(exhausted);
}

function findExhaustedLimit(
  funds: RetryLimitState,
): GiveUpReason.NoAllowance | GiveUpReason.NoBudget | undefined {
  if (funds.retriesLeft === 0) return GiveUpReason.NoAllowance;
  return funds.hasBudget ? undefined : GiveUpReason.NoBudget;
}

function giveUp(reason: GiveUpReason): NextStep {
  return { type: 'give-up', reason };
}
