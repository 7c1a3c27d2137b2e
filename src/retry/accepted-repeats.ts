/**
 * Decides which repeats a gate lets through to its target ({@link decideAcceptedRepeats}). A repeat is an arrival after one
 * that may already have reached a target: a retry, a hedged request, or a call made by a repeated run. The last can't be
 * refused without losing the run, so it is only counted. Pure.
 *
 * Whether a caller sends a call again is decided by retry-policy.ts. The design is explained in docs/design/retries.md.
 */

/** Repeats that the retry budget of a service allows. Gates report this to their callers with each answer. */
export enum AcceptedRepeats {
  /** No repeats. */
  None,
  /** Repeated calls to this service, but no further repeated runs upstream, which would make such calls again. */
  Calls,
  /** Both repeated calls and repeated runs upstream. */
  Runs,
}

/** Limit on the repeats at a service, over all its targets. */
export interface RetryBound {
  /** Repeats allowed per first arrival, 0 to 1. */
  readonly ratio: number;
  /** Repeats allowed in addition, in any window. */
  readonly slack: number;
  /** Length of the window in milliseconds. */
  readonly windowMs: number;
}

/** Arrivals in the current window. Not always whole: an uncertain arrival counts with its probability. */
export interface WindowCounts {
  readonly firsts: number;
  readonly repeats: number;
}

/** Repeats of kinds that are more urgent than another one, in a window. */
export interface UrgentRepeats {
  /** Those that they ask for if they go on as lately. */
  readonly expected: number;
  /** Those that they have got in the current window. */
  readonly granted: number;
}

/** State of a gate that the decision on a repeat depends on. */
export interface GateState {
  readonly all: WindowCounts;
  /** Requests of clients among them. */
  readonly fromClients: WindowCounts;
  /** Time for which the gate has counted arrivals, in milliseconds. */
  readonly trackedMs: number;
  /** Number of gates of the service, including this one. */
  readonly gates: number;
  /** Whether the target has called another service within the last window. */
  readonly hasDownstreamCalls: boolean;
  /** Whether a service that the target calls has recently reported that it accepts no repeated runs. */
  readonly isDownstreamFull: boolean;
}

/**
 * Fraction of the ratio that is used. The rest covers repeats in flight when a downstream budget runs out, fluctuating
 * demand and restarts of gates. With 0.9, a restarted gate under fluctuating demand can exceed the bound by 8%.
 */
const USABLE_RATIO_FRACTION = 0.75;

/** Fraction of the slack that is used, for the same reasons. */
const USABLE_SLACK_FRACTION = 0.5;

/**
 * Repeats reserved for client requests per first arrival of one, and at most this fraction of the budget. One repeat can
 * complete a client request, while a run in a target needs all of its calls to succeed.
 */
const CLIENT_RESERVE_FRACTION = 0.5;

/** Maximum fraction of the budget that is kept for more urgent kinds, so that the others always get some. */
const MAX_URGENT_FRACTION = 0.75;

/**
 * Fraction of the budget up to which repeated runs upstream are accepted. The rest is for repeated calls to this service,
 * and for the calls of repeated runs that are in flight when the fraction is reached. With 1, chains of six services exceed
 * the bound.
 */
const REPEATED_RUNS_FRACTION = 0.5;

/**
 * Fraction of the window during which no repeats are granted after a downstream service has reported that it accepts no
 * repeated runs. Longer than the time until the next report where calls are rare. Without it, a chain of four services gets up
 * to 1.24 times the allowed repeats.
 */
export const DOWNSTREAM_FULL_FRACTION = 0.1;

/**
 * Decides which repeats the gate lets through now.
 * @param isFromClient whether the repeat is a request of a client; false for a call made by a target
 */
export function decideAcceptedRepeats(
  isFromClient: boolean,
  state: GateState,
  bound: RetryBound,
): AcceptedRepeats {
  // A repeated run here would cause repeats downstream, which can't be refused there.
  if (state.isDownstreamFull) return AcceptedRepeats.None;
  const available = availableRepeats(isFromClient, state, bound);
  const wanted = state.all.repeats + 1;
  if (wanted > available) return AcceptedRepeats.None;
  return wanted > REPEATED_RUNS_FRACTION * available ? AcceptedRepeats.Calls : AcceptedRepeats.Runs;
}

/**
 * Decides whether a repeat leaves enough of the budget for more urgent kinds. What they get counts towards what is kept for
 * them, and nothing is kept for kinds that ask for no repeats.
 */
export function leavesUrgentRepeats(
  isFromClient: boolean,
  { expected, granted }: UrgentRepeats,
  state: GateState,
  bound: RetryBound,
): boolean {
  const maxKept = MAX_URGENT_FRACTION * allowedRepeats(state, bound);
  const kept = Math.max(0, Math.min(expected, maxKept) - granted);
  return state.all.repeats + 1 + kept <= availableRepeats(isFromClient, state, bound);
}

function availableRepeats(isFromClient: boolean, state: GateState, bound: RetryBound): number {
  const allowed = allowedRepeats(state, bound);
  return isFromClient ? allowed : allowed - reservedForClients(state, allowed);
}

/** Repeats that the gate's part of the budget allows in the current window. */
export function allowedRepeats(state: GateState, bound: RetryBound): number {
  const { ratio, slack, windowMs } = bound;
  const allowed = USABLE_RATIO_FRACTION * ratio * state.all.firsts;
  // Otherwise the slack of each service of a chain would add up downstream, where no first arrivals cover it.
  if (state.hasDownstreamCalls) return allowed;
  // Ramps up from 0 after a start: repeats granted by an earlier process may still be in the window.
  const slackRamp = Math.min(1, state.trackedMs / windowMs);
  return allowed + (USABLE_SLACK_FRACTION * slack * slackRamp) / Math.max(1, state.gates);
}

function reservedForClients({ fromClients }: GateState, allowed: number): number {
  const wanted = CLIENT_RESERVE_FRACTION * fromClients.firsts;
  const maxReserved = CLIENT_RESERVE_FRACTION * allowed;
  return Math.max(0, Math.min(wanted, maxReserved) - fromClients.repeats);
}
