/**
 * Typical ratio of long to usual durations of each traffic class, over all endpoints of a service. The longest recent run of a
 * single endpoint varies by large factors, and at slow endpoints it is cut off by the deadline, so it is not used by itself.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { KindPace } from '../call/outcome.js';

/** Smoothing factor of the exponential moving average, which covers about twenty reports. */
const SMOOTHING_FACTOR = 0.05;

/** Maximum number of traffic classes; bounds memory when routes are added and removed. */
const MAX_CLASSES = 1_000;

export class LongRunRatios {
  private readonly ratios = new BoundedMap<number>(MAX_CLASSES);

  /** Returns the ratio of a traffic class, at least 1; undefined before the first report. */
  ratioOf(trafficClass: string): number | undefined {
    return this.ratios.get(trafficClass);
  }

  /** Records the pace that a gate reported. */
  record(trafficClass: string, { usualMs, longMs }: KindPace): void {
    if (usualMs <= 0) return;
    const sample = Math.max(1, longMs / usualMs);
    const mean = this.ratios.get(trafficClass) ?? sample;
    this.ratios.set(trafficClass, mean + SMOOTHING_FACTOR * (sample - mean));
  }
}
