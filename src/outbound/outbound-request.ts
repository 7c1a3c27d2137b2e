/** What an outbound call asks for, what it works with, and how it ends. */
import type { CallThrottle } from '../admission/call-throttle.js';
import type { Clock } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { RepeatRoom } from '../retry/repeat-room.js';
import type { RetryAllowance } from '../retry/retry-allowance.js';
import type { RetryCredit } from '../retry/retry-budget.js';
import type { Balancer } from '../routing/balancer.js';
import type { Refusal } from '../call/refusal.js';

/** What a call asks for. */
export interface OutboundRequest {
  /** Kind and group: calls that share their fate under overload. */
  readonly trafficClass: string;
  readonly repeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Retries allowed for each first attempt of this process, 0 to 1. */
  readonly retryRatio: number;
  readonly allowance: RetryAllowance;
  /** Other targets to try after one has refused for overload. Default 0. */
  readonly overloadReroutes?: number;
  /** Whether the call may be refused early, from what callees refuse. Default true. */
  readonly throttled?: boolean;
  /**
   * Multiple of the traffic class's usual latency after which an attempt that may be repeated is hedged: another target is
   * asked as well, at the cost of a retry, since the answer may be lost. Default: never.
   */
  readonly hedgeDelayFactor?: number;
}

/** What a call works with. Shared by the calls of one process to one service. */
export interface OutboundDependencies {
  readonly clock: Clock;
  readonly throttle: CallThrottle;
  readonly budget: RetryCredit;
  readonly balancer: Balancer;
}

/** What the answers to a call have reported, for whoever made it. */
export interface CallReport {
  /** Whether the call, or one made on its behalf, was refused for overload. */
  readonly overloaded: boolean;
  /** Part of the downstream calls that are congested, as the callee reported it, 0 to 1; 0 where it reported nothing. */
  readonly congestion: number;
  /** Whether targets make calls like this one; undefined where no gate has answered. */
  readonly nested: boolean | undefined;
  /** Which repeats the callee that answered last would let through; all where none answered. */
  readonly repeatRoom: RepeatRoom;
}

/** How a call ended. */
export type OutboundResult =
  /** A back end's answer was passed on whole. */
  | ({ readonly type: 'relayed' } & CallReport)
  /** An answer had begun and broke off: the caller must see it as broken. */
  | { readonly type: 'broken'; readonly verdict: Verdict }
  /** No answer; the caller gets this refusal. */
  | ({ readonly type: 'refused'; readonly refusal: Refusal } & CallReport);

/** Hears the one result of a call. */
export type OutboundListener = (result: OutboundResult) => void;
