/**
 * The rule by which a gate lets repeats through to its target: {@link decideAcceptedRepeats}. A repeat is an arrival after one
 * that may have been there already: a retry, a hedged request, or a call that a repeated run makes (the last can't be
 * refused without losing the run, so it is counted alone). retry-policy.ts decides the other side of it, whether a caller
 * sends a call again. docs/design/retries.md has the ways that lost.
 *
 * Pure. Relies on the counts of one gate (service-retry-budget.ts), which adds them up over a sliding window.
 */

/** What the retry budget of a service has room for, as its gates tell their callers with each answer. */
export enum RepeatRoom {
  /** For no repeat. */
  None,
  /** For calls to this service that are sent again, but not for more repeated runs above that make such calls again. */
  Calls,
  /** For both. */
  Runs,
}

/** What a service may see of repeats, over all its targets. */
export interface RetryBound {
  /** Repeats for each first arrival, 0 to 1. */
  readonly ratio: number;
  /** Repeats besides, in any window. */
  readonly slack: number;
  /** Time over which arrivals are counted, in milliseconds. */
  readonly windowMs: number;
}

/** Arrivals in the window that ends now; fractions stand for how likely an arrival is one. */
export interface WindowCounts {
  readonly firsts: number;
  readonly repeats: number;
}

/** What a gate knows when a repeat asks to be let in. */
export interface GateState {
  readonly all: WindowCounts;
  /** Those of clients' requests among them. */
  readonly fromClients: WindowCounts;
  /** Milliseconds since the gate began to count. */
  readonly trackedMs: number;
  /** Gates of the service, this one included. */
  readonly gates: number;
  /** Whether its target has called another service within a window. */
  readonly hasDownstreamCalls: boolean;
  /** Whether a service that its target calls has just said that it has no room for repeated runs. */
  readonly isDownstreamFull: boolean;
}

/**
 * Part of the ratio that is used. The rest is for repeats under way when a service below has nothing left, and for a demand
 * that comes and goes: with 0.9 the bound was passed by up to 8% in 16 of 1,600 drawn demands (two gates, one of which
 * restarts), with 0.8 by 2% in one, with 0.75 in none of 2,000 (drawn as in test/retry/service-retry-budget.test.ts).
 */
const USABLE_RATIO_FRACTION = 0.75;

/** Part of the slack that is used, for the same reasons. */
const USABLE_SLACK_FRACTION = 0.5;

/**
 * Repeats kept back for requests of clients, for each of their first arrivals, and at most this part of the budget. One
 * repeat finishes such a request; of the calls that targets make, all of several have to succeed.
 */
const CLIENT_RESERVE_FRACTION = 0.5;

/**
 * Part of the budget up to which runs above may be repeated. Those that are under way when it is reached still add to it,
 * and calls to this service alone have the rest: with all of it for both, six services deep 289 repeats arrived where 244
 * were allowed, with half of it 300 graphs on five seeds kept the bound (drawn as in test/retry/arrivals-at-depth.test.ts).
 */
const REPEATED_RUNS_FRACTION = 0.5;

/**
 * Part of the window for which no repeats are granted after a service below has said that it has no room for repeated runs:
 * longer than it takes to the next answer where calls are rare. Simulated chain of four services (docs/design/retries.md):
 * without it up to 1.24 of the allowed repeats arrive, with 0.01 up to 0.71, with 0.1 up to 0.61, with 0.5 up to 0.65.
 */
export const DOWNSTREAM_FULL_FRACTION = 0.1;

/**
 * Which repeats the gate lets through now.
 * @param isFromClient whether a client asks for one; false for a call that a target makes
 */
export function decideAcceptedRepeats(
  isFromClient: boolean,
  state: GateState,
  bound: RetryBound,
): RepeatRoom {
  // Each repeated run here would cause repeats there, which can't be refused.
  if (state.isDownstreamFull) return RepeatRoom.None;
  const allowed = allowedRepeats(state, bound);
  const available = isFromClient ? allowed : allowed - reservedForClients(state, allowed);
  const wanted = state.all.repeats + 1;
  if (wanted > available) return RepeatRoom.None;
  return wanted > REPEATED_RUNS_FRACTION * available ? RepeatRoom.Calls : RepeatRoom.Runs;
}

/** Repeats that the gate's part of the budget allows for the window that ends now. */
export function allowedRepeats(state: GateState, bound: RetryBound): number {
  const { ratio, slack, windowMs } = bound;
  const allowed = USABLE_RATIO_FRACTION * ratio * state.all.firsts;
  // Each service of a chain would add its slack to those below, which know of no first arrivals to pay for it.
  if (state.hasDownstreamCalls) return allowed;
  // Grows from nothing after a start: what an earlier process was granted may still be in the window.
  const slackRamp = Math.min(1, state.trackedMs / windowMs);
  return allowed + (USABLE_SLACK_FRACTION * slack * slackRamp) / Math.max(1, state.gates);
}

function reservedForClients({ fromClients }: GateState, allowed: number): number {
  const wanted = CLIENT_RESERVE_FRACTION * fromClients.firsts;
  const maxReserved = CLIENT_RESERVE_FRACTION * allowed;
  return Math.max(0, Math.min(wanted, maxReserved) - fromClients.repeats);
}
