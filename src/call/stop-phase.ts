/**
 * Phase and timing of the graceful stop of an edge or a sidecar. The program starts the stop and sets the phase; the code
 * that accepts calls reads it. The clock must not pause while the machine is suspended.
 */
import type { Clock } from '../common/clock.js';

export enum StopPhase {
  Running,
  /** Reports not ready, but accepts calls that can finish in time, because clients take a while to notice. */
  Draining,
  /** Accepts only calls that the target makes for requests in flight. */
  Finishing,
  /** Accepts nothing; connections are about to be closed. */
  Ending,
}

/**
 * Ends of the phases, as fractions of the time until the process is killed. Draining for longer accepts more new calls but
 * leaves less time for those in flight (see docs/design/platform.md).
 */
const DRAIN_FRACTION = 0.42;
const ANSWER_FRACTION = 0.9;
/** The remaining time is for closing connections and exiting on a busy machine. */
const END_FRACTION = 0.93;
/** Answers are due after this fraction of {@link StopSettings.timeoutMs}. */
const DECLARED_ANSWER_FRACTION = 0.95;

/** Ends of the phases of a stop, in milliseconds from its start. The names appear in the log. */
export interface StopTimes {
  /** End of draining. */
  readonly drainMs: number;
  /** When calls that are accepted during the stop must have been answered. */
  readonly answerMs: number;
  /** When calls that are still in flight are aborted. */
  readonly endMs: number;
}

/** The settings of a stop. */
export interface StopSettings {
  readonly drainMs: number;
  /** Maximum time for calls to finish after draining. */
  readonly timeoutMs: number;
  /** Time until the process is killed. Overrides the other two. */
  readonly graceMs?: number | undefined;
}

/** Computes the times of a stop from its settings. */
export function stopTimes({ drainMs, timeoutMs, graceMs }: StopSettings): StopTimes {
  if (graceMs === undefined) {
    const answerMs = drainMs + DECLARED_ANSWER_FRACTION * timeoutMs;
    return { drainMs, answerMs, endMs: drainMs + timeoutMs };
  }
  return {
    drainMs: graceMs * DRAIN_FRACTION,
    answerMs: graceMs * ANSWER_FRACTION,
    endMs: graceMs * END_FRACTION,
  };
}

/** The progress of the stop of this process. */
export class StopProgress {
  phase = StopPhase.Running;
  private startedAt = 0;
  private times: StopTimes = { drainMs: Infinity, answerMs: Infinity, endMs: Infinity };

  constructor(private readonly clock: Clock) {}

  /** Starts the stop, with the phase {@link StopPhase.Draining}. */
  begin(times: StopTimes): void {
    this.phase = StopPhase.Draining;
    this.startedAt = this.clock.now();
    this.times = times;
  }

  /** Monotonic time in milliseconds by which calls must have been answered; infinite before the stop. */
  get answerDeadlineAt(): number {
    return this.startedAt + this.times.answerMs;
  }

  /** Milliseconds left to answer calls; infinite before the stop, negative once the time is over. */
  get answerTimeLeftMs(): number {
    return this.answerDeadlineAt - this.clock.now();
  }

  /** Milliseconds until draining ends; 0 afterwards. */
  get drainTimeLeftMs(): number {
    return Math.max(0, this.startedAt + this.times.drainMs - this.clock.now());
  }

  /** Milliseconds until calls that are still in flight are aborted; 0 afterwards. */
  get timeLeftMs(): number {
    return Math.max(0, this.startedAt + this.times.endMs - this.clock.now());
  }
}
