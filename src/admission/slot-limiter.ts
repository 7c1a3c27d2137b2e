/** A limit based on the number of slots that the target reports. */
import type { ConcurrencyLimiter } from './concurrency-limiter.js';

export class SlotLimiter implements ConcurrencyLimiter {
  private slots = 1;

  /** @param fraction fraction of the slots to use; some targets slow down when nearly full */
  constructor(private readonly fraction: number) {}

  get limit(): number {
    return Math.max(1, Math.floor(this.slots * this.fraction));
  }

  setSlots(slots: number): void {
    this.slots = slots;
  }

  onSample(): void {
    // The limit depends only on the reported slots.
  }
}
