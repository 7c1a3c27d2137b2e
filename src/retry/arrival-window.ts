/**
 * First arrivals and repeats at one gate over a sliding window of time. Owns the two counts; relies on times that do not go
 * back. Pure: the time is passed in.
 */
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

  /** Counts arrivals: whole ones, or how likely one is a first arrival and a repeat. A negative count takes back. */
  add(now: number, firsts: number, repeats: number): void {
    this.firsts.add(now, firsts);
    this.repeats.add(now, repeats);
  }

  /** Arrivals in the window that ends now. */
  counts(now: number): WindowCounts {
    return { firsts: this.firsts.total(now), repeats: this.repeats.total(now) };
  }
}
