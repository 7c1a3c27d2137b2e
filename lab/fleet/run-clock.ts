/** A real-time clock that starts at 0 with a run, as the clock of simulated runs does. */
import { SystemClock, type Clock, type Timer } from '../../src/common/clock.js';

export class RunClock implements Clock {
  private readonly base = new SystemClock();
  private readonly startedAt = this.base.now();
  /** Start of the run, in milliseconds since the epoch. */
  readonly startedAtEpochMs = performance.timeOrigin + this.startedAt;

  now(): number {
    return this.base.now() - this.startedAt;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    return this.base.schedule(delayMs, callback);
  }
}
