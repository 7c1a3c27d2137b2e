/**
 * How far the planned stop of a process has come, and how much time it leaves for work. For edges and sidecars: programs
 * begin the stop and move its phase, whoever takes work asks.
 *
 * Owns the phase and the times of the one stop of a process; relies on a clock that goes on while the machine is suspended.
 */
import type { Clock } from '../common/clock.js';

export enum StopPhase {
  Running,
  /** Not ready any more, but still taking the work that can be finished: clients need a while to notice. */
  Draining,
  /** Takes no new work but calls that the target makes for what it is working on. */
  Finishing,
  /** Takes nothing, and is about to end its connections. */
  Ending,
}

/**
 * Parts of the time until a stopping process is killed at which its phases end. Longer draining serves more new calls, and
 * leaves less time to those under way. docs/design/platform.md tells what was weighed.
 */
const DRAIN_FRACTION = 0.42;
const ANSWER_FRACTION = 0.9;
/** The rest is for connections to close and for the process to end, on a machine that is busy. */
const END_FRACTION = 0.93;
/** Part of a declared time for calls to finish at which their answers have to be there. */
const DECLARED_ANSWER_FRACTION = 0.95;

/** How long the phases of a stop may take, in milliseconds from its beginning. */
export interface StopTimes {
  /** End of draining. */
  readonly drainMs: number;
  /** Latest moment for answers to calls that are taken during the stop. */
  readonly answerMs: number;
  /** Latest moment at which what is still under way is given up. */
  readonly endMs: number;
}

/** What settings say of a stop. */
export interface DeclaredStop {
  readonly drainMs: number;
  /** Longest time for calls to finish after draining. */
  readonly timeoutMs: number;
  /** Time until the process is killed; the other two are not used where it is known. */
  readonly graceMs?: number | undefined;
}

/** The times of a stop, as declared or as parts of the time until the process is killed. */
export function stopTimes({ drainMs, timeoutMs, graceMs }: DeclaredStop): StopTimes {
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

/** The stop of one process, as the parts that take its work see it. */
export class StopProgress {
  phase = StopPhase.Running;
  private startedAt = 0;
  private times: StopTimes = { drainMs: Infinity, answerMs: Infinity, endMs: Infinity };

  constructor(private readonly clock: Clock) {}

  /** The stop begins. */
  begin(times: StopTimes): void {
    this.phase = StopPhase.Draining;
    this.startedAt = this.clock.now();
    this.times = times;
  }

  /** Monotonic milliseconds by which answers have to be there; infinite while no stop is under way. */
  get answerDeadlineAt(): number {
    return this.startedAt + this.times.answerMs;
  }

  /** Milliseconds left for answers; infinite while no stop is under way. */
  get answerTimeLeftMs(): number {
    return this.answerDeadlineAt - this.clock.now();
  }

  /** Milliseconds until draining ends; 0 once it has. */
  get drainTimeLeftMs(): number {
    return Math.max(0, this.startedAt + this.times.drainMs - this.clock.now());
  }

  /** Milliseconds until what is still under way is given up; 0 once that moment has come. */
  get timeLeftMs(): number {
    return Math.max(0, this.startedAt + this.times.endMs - this.clock.now());
  }
}
