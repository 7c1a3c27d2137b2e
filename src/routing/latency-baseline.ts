/**
 * Average latency of each traffic class over all endpoints of a service. Endpoints are compared relative to it, so that the
 * mix of requests which each of them got doesn't matter. Refusals must not be recorded: they are faster than answers.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Smoothing factor of the exponential moving average, which covers about twenty answers. */
const SMOOTHING_FACTOR = 0.05;

/** Cap for a single sample as a multiple of the average, so that a few slow endpoints don't raise it much. */
const MAX_RATIO = 2;

/** Largest number of traffic classes kept. Bounds memory when routes are added and removed. */
const MAX_CLASSES = 1_000;

/** Shorter latencies count as this many milliseconds, so that ratios of them are meaningful. */
const MIN_LATENCY_MS = 1;

/** Number of answers from which the average of a class is reported: as many as it covers. */
const MIN_ANSWERS = 20;

interface UsualLatency {
  latencyMs: number;
  answers: number;
}

export class LatencyBaseline {
  private readonly usual = new BoundedMap<UsualLatency>(MAX_CLASSES);

  /** Average latency of a traffic class in milliseconds; undefined before {@link MIN_ANSWERS} answers. */
  baselineLatencyMs(trafficClass: string): number | undefined {
    const usual = this.usual.get(trafficClass);
    return usual === undefined || usual.answers < MIN_ANSWERS ? undefined : usual.latencyMs;
  }

  /** Returns a latency as a multiple of the average of its class; 0 if the class has no answers yet. */
  ratioOf(trafficClass: string, latencyMs: number): number {
    const usual = this.usual.get(trafficClass);
    return usual === undefined ? 0 : latencyMs / usual.latencyMs;
  }

  /** Records the latency of one answer. @returns the latency as a multiple of the previous average */
  record(trafficClass: string, latencyMs: number): number {
    const latency = Math.max(MIN_LATENCY_MS, latencyMs);
    const known = this.usual.get(trafficClass);
    if (known === undefined) {
      this.usual.set(trafficClass, { latencyMs: latency, answers: 1 });
      return 1;
    }
    const ratio = latency / known.latencyMs;
    const counted = Math.min(ratio, MAX_RATIO) * known.latencyMs;
    known.latencyMs += SMOOTHING_FACTOR * (counted - known.latencyMs);
    known.answers += 1;
    return ratio;
  }
}
