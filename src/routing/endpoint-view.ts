/** One endpoint as this caller sees it: its own calls in flight, slowness, reported load, health. */
import type { LoadReport } from '../call/outcome.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { OutlierDetector } from './outlier-detector.js';

/** Weight of one answer in the slowness. */
const SLOWNESS_WEIGHT = 0.2;
/** One answer counts as no slower than this multiple of the usual latency. */
const MAX_SAMPLE = 20;
/**
 * Without answers, an endpoint that was slow is taken for usual again with this time constant, in
 * milliseconds: it gets few calls, and one that has recovered is to get more.
 */
const SLOWNESS_MEMORY_MS = 3_000;
const LOAD_MEMORY_MS = 1_000;
/** Part of its full load that an endpoint gets right after it appears. */
const COLD_FRACTION = 0.1;

export class EndpointView {
  private inFlight = 0;
  /** Latency as a multiple of what is usual for the same traffic classes, as of `slownessAt`. */
  private slownessThen = 1;
  private slownessAt = 0;
  private load: LoadReport | undefined;
  private loadAt = 0;
  private readonly outliers = new OutlierDetector();
  private warmFrom: number;

  /** @param appearedAt when the endpoint was first seen; -Infinity for one that is already warm */
  constructor(
    public record: EndpointRecord,
    appearedAt: number,
  ) {
    this.warmFrom = appearedAt;
  }

  /** Adopts a newer announcement. A new incarnation starts cold. */
  update(record: EndpointRecord, now: number): void {
    if (record.incarnation !== this.record.incarnation) {
      this.warmFrom = now;
      this.load = undefined;
      this.slownessThen = 1;
    }
    this.record = record;
  }

  /** Whether the node would let a repeat through, as it has said last; true where it has not. */
  get grantsRepeats(): boolean {
    return this.load?.repeatRoom !== RepeatRoom.None;
  }

  isEjected(now: number): boolean {
    return this.outliers.isEjected(now);
  }

  onStart(): void {
    this.inFlight += 1;
  }

  /** Ends what {@link onStart} began. @returns true when the endpoint was ejected by this result */
  onEnd(result: EndpointResult, now: number): boolean {
    this.inFlight -= 1;
    if (result === 'cancelled' || result === 'hedged') return false;
    if (result === 'failed') return this.outliers.onFailure(now);
    this.outliers.onSuccess(now);
    return false;
  }

  /** An answer of the target took this multiple of the usual latency. */
  onLatency(ratio: number, now: number): void {
    const slowness = this.slowness(now);
    const sample = Math.min(ratio, MAX_SAMPLE);
    this.slownessThen = slowness + SLOWNESS_WEIGHT * (sample - slowness);
    this.slownessAt = now;
  }

  /** Records the load that the node reported with an answer. */
  onLoad(load: LoadReport, now: number): void {
    this.load = load;
    this.loadAt = now;
  }

  /**
   * Expected cost of one more call here: what is in flight relative to the node's limit, times
   * slowness, divided by how warm it is. Lower is better.
   */
  cost(now: number, slowStartMs: number, usualLimit: number): number {
    return (this.occupancy(now, usualLimit) * this.slowness(now)) / this.warmth(now, slowStartMs);
  }

  /** Latency as a multiple of what is usual at the service: 1 for an endpoint like the others. */
  slowness(now: number): number {
    const kept = Math.exp((this.slownessAt - now) / SLOWNESS_MEMORY_MS);
    return 1 + (this.slownessThen - 1) * kept;
  }

  /**
   * Calls at the node, this one included, relative to its limit.
   * @param usualLimit limit of a node that has not reported its own yet: one that has just come back
   *   is to get calls, or it would never report
   */
  occupancy(now: number, usualLimit: number): number {
    const limit = this.load?.limit ?? usualLimit;
    const reported = this.load === undefined ? 0 : this.reportedInFlight(now, this.load);
    return (Math.max(this.inFlight, reported) + 1) / Math.max(1, limit);
  }

  private reportedInFlight(now: number, load: LoadReport): number {
    return load.inFlight * Math.exp(-(now - this.loadAt) / LOAD_MEMORY_MS);
  }

  private warmth(now: number, slowStartMs: number): number {
    if (slowStartMs === 0) return 1;
    const progress = (now - this.warmFrom) / slowStartMs;
    return Math.min(1, Math.max(COLD_FRACTION, progress));
  }
}
