/** The parameters, dependencies and results of an outbound call. */
import type { CallPriority } from '../admission/call-priority.js';
import type { CallThrottle } from '../admission/call-throttle.js';
import type { Clock } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { RetryAllowance } from '../retry/retry-allowance.js';
import type { RetryLimiter } from '../retry/retry-budget.js';
import type { Balancer } from '../routing/balancer.js';
import type { Bottleneck } from '../call/outcome.js';
import type { Refusal } from '../call/refusal.js';

/** Parameters of an outbound call. */
export interface OutboundRequest {
  /** Calls of the same class are throttled together and share a latency estimate. */
  readonly trafficClass: string;
  /** Priority under the rate limits that targets announce. */
  readonly priority: CallPriority;
  readonly repeatable: boolean;
  /** Monotonic time in milliseconds. */
  readonly deadlineAt: number;
  /** Retries added to the budget of this process for each first attempt, 0 to 1. */
  readonly retryRatio: number;
  readonly allowance: RetryAllowance;
  /** Maximum number of other targets to try after refusals for overload. Default 0. */
  readonly overloadReroutes?: number;
  /** Whether the throttle may refuse the call before it is sent. Default true. */
  readonly throttled?: boolean;
  /**
   * Multiple of the usual latency of the traffic class after which a repeatable call is hedged: it is also sent to another
   * target, at the cost of a retry. Default: never.
   */
  readonly hedgeDelayFactor?: number;
}

/** Dependencies that all calls of a process to one service share. */
export interface OutboundDependencies {
  readonly clock: Clock;
  readonly throttle: CallThrottle;
  readonly budget: RetryLimiter;
  readonly balancer: Balancer;
}

/** What gates and targets reported in their answers to a call. */
export interface CallReport {
  /** Whether the call or one of its downstream calls was refused because of overload. */
  readonly overloaded: boolean;
  /** Fraction of the downstream calls that are congested, as reported by the callee, 0 to 1; 0 if not reported. */
  readonly congestion: number;
  /** Whether such calls are made by targets rather than by clients; undefined if no gate has answered. */
  readonly nested: boolean | undefined;
  /** The most loaded service on the path of the call; undefined if none is under pressure, or no gate has answered. */
  readonly bottleneck?: Bottleneck;
  /** Which repeats the last callee that answered admits; all if none answered. */
  readonly repeatRoom: AcceptedRepeats;
}

/** How a call ended. */
export type OutboundResult =
  /** The complete answer of a target was forwarded. */
  | ({ readonly type: 'relayed' } & CallReport)
  /** An answer started but was not complete; it must not look complete to the caller. */
  | { readonly type: 'broken'; readonly verdict: Verdict }
  /** There was no answer; this refusal is returned to the caller. */
  | ({ readonly type: 'refused'; readonly refusal: Refusal } & CallReport);

/** Receives the single result of a call. */
export type OutboundListener = (result: OutboundResult) => void;
