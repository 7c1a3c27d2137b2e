/**
 * Interface of the algorithms that limit the calls in flight at a target, each in its own module.
 * docs/design/admission.md compares them.
 */

/** How an admitted call ended. */
export type SampleOutcome =
  /** The target answered. */
  | 'answered'
  /** The target refused the call for overload, or the attempt failed. */
  | 'dropped'
  /** The caller cancelled the call or its deadline passed; the latency is not meaningful. */
  | 'cancelled';

/** Measurements of one finished call. */
export interface LatencySample {
  /** Kind of the call; latencies are compared only within a kind. */
  readonly kind: string;
  /** Time in the target without its nested calls, in milliseconds. */
  readonly latencyMs: number;
  /** Total time in the target including nested calls, in milliseconds: how long the call occupied a slot. */
  readonly durationMs: number;
  /** Calls in flight when this one was admitted, including itself. */
  readonly inFlight: number;
  /** Monotonic milliseconds at which the call was admitted. */
  readonly startedAt: number;
  readonly outcome: SampleOutcome;
}

/** Limits configured for a service. */
export interface LimiterBounds {
  readonly initial: number;
  readonly min: number;
  readonly max: number;
}

/** Sets how many calls may be in flight at the target. */
export interface ConcurrencyLimiter {
  /** Maximum number of calls in flight, an integer of at least 1. */
  readonly limit: number;
  /** Records a finished call. @param now monotonic milliseconds */
  onSample(sample: LatencySample, now: number): void;
}

/** Clamps `value` to the configured bounds. */
export function clampLimit(value: number, bounds: LimiterBounds): number {
  return Math.min(bounds.max, Math.max(bounds.min, value));
}
