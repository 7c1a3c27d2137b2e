/** Real time that counts from the start of a run, so that records compare with simulated ones. */
import { SystemClock, type Clock, type Timer } from '../../src/common/clock.js';

export class RunClock implements Clock {
  private readonly base = new SystemClock();
  private readonly startedAt = this.base.now();
  /** Absolute milliseconds of the start. */
  readonly startedAtEpochMs = performance.timeOrigin + this.startedAt;

  now(): number {
    return this.base.now() - this.startedAt;
  }

  schedule(delayMs: number, callback: () => void): Timer {
    return this.base.schedule(delayMs, callback);
  }
}
