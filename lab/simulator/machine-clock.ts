/**
 * The clock of one simulated process: its timers are deferred while the machine is frozen and never
 * fire after the process has ended.
 */
import type { Clock, Timer } from '../../src/common/clock.js';
import type { SimMachine } from './sim-network.js';

export class MachineClock implements Clock {
  constructor(
    private readonly base: Clock,
    private readonly machine: SimMachine,
  ) {}

  now(): number {
    return this.base.now();
  }

  schedule(delayMs: number, callback: () => void): Timer {
    const { incarnation } = this.machine;
    let cancelled = false;
    const timer = this.base.schedule(delayMs, () => {
      if (this.machine.incarnation !== incarnation) return;
      this.machine.runOrDefer(() => {
        if (!cancelled) callback();
      });
    });
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }
}
