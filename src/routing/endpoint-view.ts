/**
 * One endpoint as this caller sees it: its own calls in flight, how slow it is, the load that its gate reported, failures.
 * Owns what is learned of one endpoint. Relies on the balancer for the order of events and for the usual latencies.
 */
import type { LoadReport } from '../call/outcome.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { OutlierDetector } from './outlier-detector.js';
import type { Candidate, CostContext } from './target-choice.js';

/** Weight of one answer in the latency ratio: about the last five count. */
const LATENCY_RATIO_WEIGHT = 0.2;

/** A larger multiple counts as this one: a single answer is not to keep an endpoint out for long. */
const MAX_LATENCY_RATIO = 20;

/**
 * Without answers, an endpoint that was slow is taken for usual again with this time constant, in milliseconds: it gets few
 * calls, and one that has recovered is to get more.
 */
const LATENCY_RATIO_DECAY_MS = 3_000;

/**
 * Time constant with which a reported load fades, in milliseconds: reports are old where calls are few. 300 and 10,000 do as
 * well, within the spread of the seeds (docs/design/routing.md).
 */
const LOAD_DECAY_MS = 1_000;

/** Part of its full load that an endpoint gets right after it appears: enough for it to warm up by. */
const MIN_SLOW_START_WEIGHT = 0.1;

export class EndpointView implements Candidate {
  private inFlight = 0;
  /** Latency as a multiple of what is usual for the same traffic classes, as of `latencyRatioAt`. */
  private latestLatencyRatio = 1;
  /** Monotonic milliseconds. */
  private latencyRatioAt = 0;
  private load: LoadReport | undefined;
  /** Monotonic milliseconds. */
  private loadAt = 0;
  private readonly outliers = new OutlierDetector();
  /** When it began to take up load, in monotonic milliseconds. */
  private slowStartFrom: number;

  /** @param appearedAt when the endpoint was first seen; -Infinity for one that is already warm */
  constructor(
    public record: EndpointRecord,
    appearedAt: number,
  ) {
    this.slowStartFrom = appearedAt;
  }

  /** Adopts a newer announcement. A new incarnation starts cold. */
  update(record: EndpointRecord, now: number): void {
    if (record.incarnation !== this.record.incarnation) {
      this.slowStartFrom = now;
      this.load = undefined;
      this.latestLatencyRatio = 1;
    }
    this.record = record;
  }

  get zone(): string {
    return this.record.zone;
  }

  /** Whether the gate would let a repeat through, as it said last; true where it has said nothing. */
  get acceptsRepeats(): boolean {
    return this.load?.repeatRoom !== RepeatRoom.None;
  }

  isEjected(now: number): boolean {
    return this.outliers.isEjected(now);
  }

  onStart(): void {
    this.inFlight += 1;
  }

  /** Ends what {@link onStart} began. */
  onEnd(result: EndpointResult, now: number): void {
    this.inFlight -= 1;
    if (result === 'failed') this.outliers.onFailure(now);
    if (result === 'answered') this.outliers.onSuccess(now);
  }

  /** An answer of the target took this multiple of the usual latency. */
  onLatency(ratio: number, now: number): void {
    const before = this.latencyRatio(now);
    const sample = Math.min(ratio, MAX_LATENCY_RATIO);
    this.latestLatencyRatio = before + LATENCY_RATIO_WEIGHT * (sample - before);
    this.latencyRatioAt = now;
  }

  /** Records the load that the node reported with an answer. */
  onLoad(load: LoadReport, now: number): void {
    this.load = load;
    this.loadAt = now;
  }

  /** What is in flight relative to the gate's limit, times the latency ratio, divided by how warm it is. Lower is better. */
  cost(context: CostContext): number {
    return (this.occupancy(context) * this.latencyRatio(context.now)) / this.warmupWeight(context);
  }

  latencyRatio(now: number): number {
    const kept = Math.exp((this.latencyRatioAt - now) / LATENCY_RATIO_DECAY_MS);
    return 1 + (this.latestLatencyRatio - 1) * kept;
  }

  /** A gate that has reported no limit has the mean one: taken for full, one that came back got no calls to report with. */
  occupancy({ now, meanLimit }: CostContext): number {
    const limit = this.load?.limit ?? meanLimit;
    const reported = this.load === undefined ? 0 : this.reportedInFlight(now, this.load);
    return (Math.max(this.inFlight, reported) + 1) / Math.max(1, limit);
  }

  private reportedInFlight(now: number, load: LoadReport): number {
    return load.inFlight * Math.exp(-(now - this.loadAt) / LOAD_DECAY_MS);
  }

  private warmupWeight({ now, slowStartMs }: CostContext): number {
    if (slowStartMs === 0) return 1;
    const progress = (now - this.slowStartFrom) / slowStartMs;
    return Math.min(1, Math.max(MIN_SLOW_START_WEIGHT, progress));
  }
}
