/**
 * One endpoint as this caller sees it: its own calls in flight, how slow it is, the load that its gate reported, failures.
 * Owns what is learned of one endpoint. Relies on the balancer for the order of events and for the usual latencies.
 */
import type { LoadReport } from '../call/outcome.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { OutlierDetector } from './outlier-detector.js';
import type { Candidate, ChoiceScale } from './target-choice.js';

/** Weight of one answer in the latency ratio: about the last five count. */
const LATENCY_RATIO_WEIGHT = 0.2;

/**
 * Least weight of one answer in the lasting part of the ratio, a target's own speed. The first answers count in full: a caller
 * of many endpoints gets one answer of each in some seconds, and knew nothing of their speeds for most of its life.
 */
const MIN_LASTING_WEIGHT = 0.1;

/** A larger multiple is not a target's own speed, and fades. */
const MAX_LASTING_RATIO = 2;

/** A larger multiple counts as this one: a single answer is not to keep an endpoint out for long. Not measured. */
const MAX_LATENCY_RATIO = 20;

/**
 * Without answers, what an endpoint is slower than it lastingly is fades with this time constant, in milliseconds: it gets few
 * calls, and one that has recovered is to get more.
 */
const SLOWNESS_FADE_MS = 3_000;

/** The same for its own speed, in milliseconds: an endpoint that got no calls for it is tried again. */
const LASTING_FADE_MS = 10_000;

/**
 * Occupancy at which load counts as much as speed: targets answer about as fast with some slots in use as with none. By
 * occupancy alone, slow targets had the calls that they could not answer in time as long as they had fewer of them.
 */
const EVEN_OCCUPANCY = 0.5;

/**
 * Time constant with which a reported load fades, in milliseconds: reports are old where calls are few. 300 and 10,000 do as
 * well, within the spread of the seeds (docs/design/routing.md).
 */
const LOAD_FADE_MS = 1_000;

/** Part of its full load that an endpoint gets right after it appears: enough for it to warm up by. Not measured. */
const COLD_PART = 0.1;

export class EndpointView implements Candidate {
  private inFlight = 0;
  /** Latency as a multiple of what is usual for the same traffic classes, in the mean. */
  private latestLastingRatio = 1;
  /** By how much the latest answers were above that. */
  private latestSlowness = 0;
  /** When both were learned, in monotonic milliseconds. */
  private answeredAt = 0;
  private answers = 0;
  private load: LoadReport | undefined;
  /** Monotonic milliseconds. */
  private loadAt = 0;
  private readonly outliers = new OutlierDetector();
  /** When it began to take up load, in monotonic milliseconds. */
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
      this.latestLastingRatio = 1;
      this.latestSlowness = 0;
      this.answers = 0;
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
    const slowness = this.slowness(now);
    const sample = Math.min(ratio, MAX_LATENCY_RATIO);
    this.answers += 1;
    const lastingWeight = Math.max(MIN_LASTING_WEIGHT, 1 / this.answers);
    const before = this.lastingRatio(now);
    const lasting = before + lastingWeight * (Math.min(sample, MAX_LASTING_RATIO) - before);
    this.latestLastingRatio = lasting;
    this.latestSlowness = slowness + LATENCY_RATIO_WEIGHT * (sample - lasting - slowness);
    this.answeredAt = now;
  }

  /** Records the load that the node reported with an answer. */
  onLoad(load: LoadReport, now: number): void {
    this.load = load;
    this.loadAt = now;
  }

  /**
   * What is in flight relative to the gate's limit, times the latency ratio, divided by how warm it is.
   * Lower is better.
   */
  cost(scale: ChoiceScale): number {
    return (this.occupancy(scale) * this.latencyRatio(scale.now)) / this.warmth(scale);
  }

  /** The same, with a constant next to the load: for endpoints between which a call costs no more than its time. */
  expectedTime(scale: ChoiceScale): number {
    const load = EVEN_OCCUPANCY + this.occupancy(scale);
    return (load * this.latencyRatio(scale.now)) / this.warmth(scale);
  }

  latencyRatio(now: number): number {
    return this.lastingRatio(now) + this.slowness(now);
  }

  private lastingRatio(now: number): number {
    return 1 + (this.latestLastingRatio - 1) * this.kept(now, LASTING_FADE_MS);
  }

  private slowness(now: number): number {
    return this.latestSlowness * this.kept(now, SLOWNESS_FADE_MS);
  }

  /** The part of what was learned with the latest answer that still counts. */
  private kept(now: number, fadeMs: number): number {
    return Math.exp((this.answeredAt - now) / fadeMs);
  }

  /** A gate that has reported no limit has the mean one: taken for full, one that came back got no calls to report with. */
  occupancy({ now, meanLimit }: ChoiceScale): number {
    const limit = this.load?.limit ?? meanLimit;
    const reported = this.load === undefined ? 0 : this.reportedInFlight(now, this.load);
    return (Math.max(this.inFlight, reported) + 1) / Math.max(1, limit);
  }

  private reportedInFlight(now: number, load: LoadReport): number {
    return load.inFlight * Math.exp(-(now - this.loadAt) / LOAD_FADE_MS);
  }

  private warmth({ now, slowStartMs }: ChoiceScale): number {
    if (slowStartMs === 0) return 1;
    const progress = (now - this.warmFrom) / slowStartMs;
    return Math.min(1, Math.max(COLD_PART, progress));
  }
}
