/** Schedules timers on a clock and records which of them have run. */
import type { Clock, Timer } from '../../src/common/clock.js';

const SETTLE_MS = 50;

export class OverdueProbe {
  /** Delays of the timers that have run, in order. */
  readonly ran: number[] = [];
  private readonly timers: Timer[];

  /** @param delaysMs delays of the timers to schedule */
  constructor(clock: Clock, delaysMs: readonly number[]) {
    this.timers = delaysMs.map((delayMs) => clock.schedule(delayMs, () => this.ran.push(delayMs)));
  }

  /** Waits in real time for the timers that are due. */
  async settle(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  }

  cancel(): void {
    for (const timer of this.timers) timer.cancel();
  }
}
