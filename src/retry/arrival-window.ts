/** Counts first arrivals and repeats at one gate over a sliding time window. The times passed in must not decrease. */
import { SlidingCount } from '../common/sliding-count.js';
import type { WindowCounts } from './repeat-room.js';

export class ArrivalWindow {
  private readonly firsts: SlidingCount;
  private readonly repeats: SlidingCount;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.firsts = new SlidingCount(windowMs);
    this.repeats = new SlidingCount(windowMs);
  }

  /**
   * Adds arrivals. Fractions are the probabilities that one arrival is a first arrival or a repeat; a negative count removes
   * arrivals that were added before.
   */
  add(now: number, firsts: number, repeats: number): void {
    this.firsts.add(now, firsts);
    this.repeats.add(now, repeats);
  }

  /** Arrivals in the window that ends at `now`. */
  counts(now: number): WindowCounts {
    return { firsts: this.firsts.total(now), repeats: this.repeats.total(now) };
  }
}
