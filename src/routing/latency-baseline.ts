/**
 * The usual latency of each traffic class over all endpoints of a service, so that endpoints can be compared whatever mix
 * of requests each of them got. Owns those latencies; relies on a target's true answers being passed in alone.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one answer in the usual latency: about the last twenty count. */
const SMOOTHING_FACTOR = 0.05;

/** A larger multiple counts as this one: a few slow endpoints are not to become what is usual. */
const MAX_RATIO = 2;

/** Classes that are remembered, a bound on memory; routes come and go with the configuration. */
const MAX_CLASSES = 1_000;

/** Shorter latencies count as this one, in milliseconds, so that their ratios mean something. */
const MIN_LATENCY_MS = 1;

/** Answers of a class before its usual latency is told: as many as its mean reaches back. */
const MIN_ANSWERS = 20;

interface UsualLatency {
  latencyMs: number;
  answers: number;
}

export class LatencyBaseline {
  private readonly usual = new BoundedMap<UsualLatency>(MAX_CLASSES);

  /** Usual latency of a traffic class in milliseconds; undefined before {@link MIN_ANSWERS} answers. */
  usualLatencyMs(trafficClass: string): number | undefined {
    const usual = this.usual.get(trafficClass);
    return usual === undefined || usual.answers < MIN_ANSWERS ? undefined : usual.latencyMs;
  }

  /** A latency as a multiple of the usual one of its class; 0 where that is not known. */
  ratioOf(trafficClass: string, latencyMs: number): number {
    const usual = this.usual.get(trafficClass);
    return usual === undefined ? 0 : latencyMs / usual.latencyMs;
  }

  /** Learns the latency of one answer. @returns the latency as a multiple of the usual one */
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
