/** Counts first arrivals and repeats at one gate over a sliding time window. The times passed in must not decrease. */
import { SlidingWindowCounter } from '../common/sliding-window-counter.js';
import type { WindowCounts } from './accepted-repeats.js';

export class ArrivalWindow {
  private readonly firsts: SlidingWindowCounter;
  private readonly repeats: SlidingWindowCounter;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.firsts = new SlidingWindowCounter(windowMs);
    this.repeats = new SlidingWindowCounter(windowMs);
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
