/**
 * The rule for sending a call again: after an attempt that failed ({@link decideNextStep}), and while an attempt takes
 * much longer than usual ({@link decideHedgeDelay}, then {@link decideHedge}). Pure: the caller passes in what it knows,
 * and carries out the decision.
 *
 * Words: a *reroute* sends a call elsewhere that is known not to have arrived at any target, at no cost. A *retry* is the
 * caller's decision to send a call again that may have arrived, a *hedged request* the same while the first attempt is
 * still under way; both cost a retry. A *repeat* is what a target sees: an arrival after one that may have been there
 * already, be it of a retry, of a hedged request, or of a call that a repeated run makes.
 *
 * Relies on true verdicts of the gates, and on gates that refuse repeats beyond the budget of their service
 * (service-retry-budget.ts) where the caller has no budget of its own.
 */
import type { Verdict } from '../common/verdict.js';

/**
 * Most reroutes of one call, other than after refusals for overload. Each costs a message and the time of its way; fewer
 * end calls while two targets of a service are stopping.
 */
export const MAX_REROUTES = 2;

/** Least time left for another attempt, in milliseconds: one with less would only add load. */
export const MIN_RETRY_TIME_MS = 5;

/**
 * Shortest hedge delay, in milliseconds: short latencies vary by large multiples, and hedging each of them would spend
 * the retry budget on answers that are about to come: in the simulation no answer is lost without its caller
 * being told.
 */
export const MIN_HEDGE_DELAY_MS = 60;

/**
 * Largest hedge delay as a part of the time left: a hedged request that starts later has too little time to be answered.
 */
export const MAX_HEDGE_DELAY_FRACTION = 0.7;

/** Why a call is not sent again. */
export enum GiveUpReason {
  /** Targets crash under the request, or may: another one is not to get it. */
  Dangerous = 'dangerous',
  /** Refused for overload by as many gates as it may ask, or not known not to have run. */
  Overload = 'overload',
  /** The request body can't be sent again from the start. */
  NotReplayable = 'not-replayable',
  /** Less than {@link MIN_RETRY_TIME_MS} is left. */
  NoTime = 'no-time',
  /** It was rerouted {@link MAX_REROUTES} times. */
  ReroutesUsed = 'reroutes-used',
  /** It may have run, and may not run twice. */
  NotRepeatable = 'not-repeatable',
  /** The request's allowance of retries is spent or lent. */
  NoAllowance = 'no-allowance',
  /** The budget of this process for the service is spent. */
  NoBudget = 'no-budget',
}

/** What is known of an attempt that did not bring an answer. */
export interface FailedAttempt {
  readonly verdict: Verdict;
  /** Whether the callee refused because of overload, of its own or downstream. */
  readonly overloaded: boolean;
  /** Whether it arrived at a target, which turned it away. */
  readonly rejectedByTarget: boolean;
  /** Whether no other target may get it: targets crash under it, or may. */
  readonly isDangerous: boolean;
}

/** What a retry or a hedged request is paid from. */
export interface RetryFunds {
  /** Retries left in the request's allowance. */
  readonly retriesLeft: number;
  /** Whether the budget of this process for the service has one left. */
  readonly hasBudget: boolean;
}

/** The state of the call that {@link decideNextStep} depends on. */
export interface CallState extends RetryFunds {
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
  /** Times that the call was rerouted, for whatever reason. */
  readonly reroutes: number;
  /** Most reroutes after refusals for overload; each other reroute counts as well. */
  readonly maxOverloadReroutes: number;
  /** Milliseconds left until the deadline. */
  readonly remainingMs: number;
}

/** What follows a failed attempt. */
export type NextStep =
  /** Send it to another target at no cost. */
  | { readonly type: 'reroute' }
  /** Send it to another target, at the cost of one retry of the allowance and of the budget. */
  | { readonly type: 'retry' }
  /** Answer the caller now. */
  | { readonly type: 'give-up'; readonly reason: GiveUpReason };

/** The first line that applies decides. */
export function decideNextStep(attempt: FailedAttempt, state: CallState): NextStep {
  // A second target would crash, too: repeated at once, such requests took two targets within 0.1 s.
  if (attempt.isDangerous) return giveUp(GiveUpReason.Dangerous);
  if (attempt.overloaded) return afterOverload(attempt, state);
  if (!state.replayable) return giveUp(GiveUpReason.NotReplayable);
  if (state.remainingMs < MIN_RETRY_TIME_MS) return giveUp(GiveUpReason.NoTime);
  if (attempt.verdict === 'not-run') {
    if (attempt.rejectedByTarget) return retryIfAllowed(state);
    return state.reroutes < MAX_REROUTES ? REROUTE : giveUp(GiveUpReason.ReroutesUsed);
  }
  return state.repeatable ? retryIfAllowed(state) : giveUp(GiveUpReason.NotRepeatable);
}

/** What may have run under overload is not sent again: it would add to the load that delays it. */
function afterOverload(attempt: FailedAttempt, state: CallState): NextStep {
  if (attempt.verdict !== 'not-run') return giveUp(GiveUpReason.Overload);
  if (!state.replayable) return giveUp(GiveUpReason.NotReplayable);
  if (state.reroutes >= state.maxOverloadReroutes) return giveUp(GiveUpReason.Overload);
  // Sent on at no cost, what targets turn away passes the service's budget: 2,929 repeats where 2,287 were allowed.
  return attempt.rejectedByTarget ? retryIfAllowed(state) : REROUTE;
}

/** The state of the call that {@link decideHedgeDelay} depends on. */
export interface HedgeDelayState {
  /** Multiple of the usual latency after which an answer is taken for lost; undefined: never. */
  readonly delayFactor: number | undefined;
  readonly repeatable: boolean;
  /** Whether the request body can be sent again from the start. */
  readonly replayable: boolean;
  /** Retries left in the request's allowance. */
  readonly retriesLeft: number;
  /** Usual latency of the traffic class at the service, in milliseconds; undefined while it is not known. */
  readonly usualLatencyMs: number | undefined;
  /** Milliseconds left until the deadline. */
  readonly remainingMs: number;
}

/** @returns the time in milliseconds after which the attempt about to be sent is hedged; undefined: it is not */
export function decideHedgeDelay(state: HedgeDelayState): number | undefined {
  const { delayFactor, usualLatencyMs } = state;
  if (delayFactor === undefined || usualLatencyMs === undefined) return undefined;
  if (!state.repeatable || !state.replayable || state.retriesLeft === 0) return undefined;
  const delayMs = Math.max(MIN_HEDGE_DELAY_MS, delayFactor * usualLatencyMs);
  return delayMs > MAX_HEDGE_DELAY_FRACTION * state.remainingMs ? undefined : delayMs;
}

/** The state of the call that {@link decideHedge} depends on, once the hedge delay has passed. */
export interface HedgeState extends RetryFunds {
  /** Whether the gate of the other target would let a repeat through, as it said last. */
  readonly targetAcceptsRepeats: boolean;
}

/** Whether a second target is asked while the first attempt goes on. */
export type HedgeDecision =
  | { readonly type: 'hedge' }
  /** Go on waiting for the first attempt alone. */
  | { readonly type: 'wait'; readonly reason: WaitReason };

/** Why a call is not hedged though its answer is late. */
export type WaitReason =
  /** The first attempt may still be answered; a hedged request that is refused costs a retry and brings nothing. */
  'target-refuses-repeats' | GiveUpReason.NoAllowance | GiveUpReason.NoBudget;

/** The first line that applies decides. */
export function decideHedge(state: HedgeState): HedgeDecision {
  if (!state.targetAcceptsRepeats) return { type: 'wait', reason: 'target-refuses-repeats' };
  const exhausted = findExhaustedLimit(state);
  return exhausted === undefined ? { type: 'hedge' } : { type: 'wait', reason: exhausted };
}

const REROUTE: NextStep = { type: 'reroute' };

function retryIfAllowed(funds: RetryFunds): NextStep {
  const exhausted = findExhaustedLimit(funds);
  return exhausted === undefined ? { type: 'retry' } : giveUp(exhausted);
}

function findExhaustedLimit(
  funds: RetryFunds,
): GiveUpReason.NoAllowance | GiveUpReason.NoBudget | undefined {
  if (funds.retriesLeft === 0) return GiveUpReason.NoAllowance;
  return funds.hasBudget ? undefined : GiveUpReason.NoBudget;
}

function giveUp(reason: GiveUpReason): NextStep {
  return { type: 'give-up', reason };
}
