/**
 * Decides whether a gate turns a call away because its target is slowed down at the moment and a long run would exceed the
 * deadline. Only for calls that may run once and whose caller can send them to another target with room: being rerouted
 * costs such a call a round trip, while a run that exceeds the deadline fails it.
 */
import type { KindPace } from '../call/outcome.js';

export interface LongRunState {
  /** Whether the caller can send the call to another target with room. */
  readonly isReroutable: boolean;
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Durations of such calls in the target; undefined if unknown. */
  readonly pace: KindPace | undefined;
  /** Multiple of the usual duration of work at which the target works now; undefined if it is not slowed down. */
  readonly slowedRatio: number | undefined;
}

/** Whether a long run of the call fits the time that it has left, or the call has to be sent to this target anyway. */
export function mayRunNow({ isReroutable, remainingMs, pace, slowedRatio }: LongRunState): boolean {
  if (!isReroutable || pace === undefined || slowedRatio === undefined) return true;
  return pace.longMs * slowedRatio <= remainingMs;
}
