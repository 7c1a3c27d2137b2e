/**
 * The usual latency of each lane over all endpoints of a service, so that endpoints can be compared
 * whatever mix of requests each of them got.
 */

/** Weight of one answer in the usual latency. */
const WEIGHT = 0.05;
/** A larger multiple counts as this one: a few slow endpoints are not to become what is usual. */
const MAX_RATIO = 2;
/** Lanes that are remembered; routes come and go with the configuration. */
const MAX_LANES = 1_000;
/** Keeps ratios of very short latencies meaningful, in milliseconds. */
const MIN_LATENCY_MS = 1;

export class LatencyBaseline {
  private readonly usualMs = new Map<string, number>();

  /** Learns the latency of one answer. @returns the latency as a multiple of the usual one */
  learn(lane: string, latencyMs: number): number {
    const latency = Math.max(MIN_LATENCY_MS, latencyMs);
    const usual = this.usualMs.get(lane) ?? latency;
    if (this.usualMs.size >= MAX_LANES) this.usualMs.clear();
    const counted = Math.min(latency, MAX_RATIO * usual);
    this.usualMs.set(lane, usual + WEIGHT * (counted - usual));
    return latency / usual;
  }
}
