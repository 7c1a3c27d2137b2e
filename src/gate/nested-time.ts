/**
 * Measures the time during which the target waits for at least one call that it made on behalf of a
 * call; the rest is the target's own work.
 */
import type { Clock } from '../common/clock.js';

export class NestedTime {
  private active = 0;
  private startedAt = 0;
  private total = 0;

  constructor(private readonly clock: Clock) {}

  start(): void {
    if (this.active === 0) this.startedAt = this.clock.now();
    this.active += 1;
  }

  end(): void {
    this.active -= 1;
    if (this.active === 0) this.total += this.clock.now() - this.startedAt;
  }

  /** Milliseconds so far; overlapping calls count once. */
  totalMs(): number {
    return this.active === 0 ? this.total : this.total + this.clock.now() - this.startedAt;
  }
}
