/** A constant limit: the configured initial value. */
import type { ConcurrencyLimiter, LimiterBounds } from './concurrency-limiter.js';

export class FixedLimiter implements ConcurrencyLimiter {
  readonly limit: number;

  constructor(bounds: LimiterBounds) {
    this.limit = bounds.initial;
  }

  onSample(): void {
    // A fixed limit ignores samples.
  }
}
