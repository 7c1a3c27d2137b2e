/**
 * The limit on concurrent calls that a node lets into its target. One algorithm a file, all behind
 * {@link ConcurrencyLimiter}. docs/design/admission.md weighs them by measurement.
 */

/** How a call that was let into the target ended. */
export type SampleOutcome =
  /** The target answered. */
  | 'answered'
  /** The target shed the call or broke off. */
  | 'dropped'
  /** The caller went away or the deadline passed: the latency says nothing. */
  | 'cancelled';

/** One finished call, as limiters see it. */
export interface LatencySample {
  /** Kind of request; latencies are only compared within a kind. */
  readonly kind: string;
  /** Time inside the target in milliseconds, without the time of calls it made itself. */
  readonly latencyMs: number;
  /** Time inside the target in milliseconds, all of it: how long the call held a slot. */
  readonly durationMs: number;
  /** Calls inside the target when this one entered, itself included. */
  readonly inFlight: number;
  /** Monotonic milliseconds at which the call entered the target. */
  readonly startedAt: number;
  readonly outcome: SampleOutcome;
}

/** Bounds that operators declare for a service. */
export interface LimiterBounds {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

/** Decides how many calls may be inside the target at once. Pure: it learns from samples only. */
export interface ConcurrencyLimiter {
  /** Calls that may be inside the target now, a whole number of at least 1. */
  readonly limit: number;
  /** Learns from a finished call. @param now monotonic milliseconds */
  onSample(sample: LatencySample, now: number): void;
}

/** Keeps `value` within the declared bounds. */
export function clampLimit(value: number, bounds: LimiterBounds): number {
  return Math.min(bounds.max, Math.max(bounds.min, value));
}
