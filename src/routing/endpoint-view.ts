/**
 * State of one endpoint as seen by this caller: its own calls in flight, the latency, the load that the gate reported, and
 * failures. Computes the cost by which endpoints are compared.
 */
import type { CallPriority } from '../admission/call-priority.js';
import type { KindPace, LoadReport } from '../call/outcome.js';
import { BoundedMap } from '../common/bounded-map.js';
import { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import { OutlierDetector } from './outlier-detector.js';
import type { PacedCandidate } from './expected-duration.js';
import type { ReportingCandidate } from './reliable-targets.js';
import type { CostContext } from './target-choice.js';

/** Smoothing factor of the latency ratio, an exponential moving average over about five answers. */
const LATENCY_RATIO_WEIGHT = 0.2;

/** Cap for a single sample of the latency ratio, so that one slow answer doesn't keep calls away for long. */
const MAX_LATENCY_RATIO = 20;

/**
 * Time constant with which the latency ratio decays to 1 between answers, in milliseconds. A slow endpoint gets few calls;
 * without the decay, its recovery would not be noticed.
 */
const LATENCY_RATIO_DECAY_MS = 3_000;

/** Time constant with which a reported load decays, in milliseconds. Reports become outdated when calls are rare. */
const LOAD_DECAY_MS = 1_000;

/**
 * Time constants with which a reported share of unserved runs decays, in milliseconds. Repeatable calls find out sooner whether
 * a target serves again.
 */
const UNSERVED_DECAY_MS = 6_000;
const UNSERVED_DECAY_FOR_REPEATABLE_MS = 2_000;

/** Weight at the beginning of the slow start, as a fraction of the full weight: a few calls are needed to warm up. */
const MIN_SLOW_START_WEIGHT = 0.1;

/**
 * Time for which a reported pace is used, in milliseconds. The pace is a property of the target; without an end, an endpoint
 * that was slow once would get no calls that show that it has become faster.
 */
const PACE_TTL_MS = 300_000;

/** Maximum number of traffic classes whose pace is kept; bounds memory when routes are added and removed. */
const MAX_CLASSES = 1_000;

/** How long an endpoint that refused a call of a traffic class for overload has no room for that class, in milliseconds. */
const OVERLOAD_MEMORY_MS = 1_000;

interface ReportedPace {
  readonly pace: KindPace;
  /** Monotonic milliseconds. */
  readonly reportedAt: number;
}

export class EndpointView implements PacedCandidate, ReportingCandidate {
  private inFlight = 0;
  /** Latency as a multiple of the baseline of the same traffic classes, as of `latencyRatioAt`. */
  private latestLatencyRatio = 1;
  /** Monotonic milliseconds. */
  private latencyRatioAt = 0;
  /** Until when the gate wants no calls of a priority, in monotonic milliseconds. */
  private readonly pausedUntil = new Map<CallPriority, number>();
  private load: LoadReport | undefined;
  /** Monotonic milliseconds. */
  private loadAt = 0;
  /** Durations of calls by traffic class, as the gate reported them. */
  private readonly paces = new BoundedMap<ReportedPace>(MAX_CLASSES);
  /** When the gate last refused calls for overload, by traffic class, in monotonic milliseconds. */
  private readonly overloadedAt = new BoundedMap<number>(MAX_CLASSES);
  private readonly outliers = new OutlierDetector();
  /** Start of the slow start, in monotonic milliseconds; -Infinity if there is none. */
  private slowStartFrom: number;

  /** @param appearedAt when the endpoint was first seen, in monotonic milliseconds; -Infinity if it is already warm */
  constructor(
    public record: EndpointRecord,
    appearedAt: number,
  ) {
    this.slowStartFrom = appearedAt;
  }

  /** Replaces the record. A new incarnation begins with a slow start and without reported load. */
  update(record: EndpointRecord, now: number): void {
    if (record.incarnation !== this.record.incarnation) {
      this.slowStartFrom = now;
      this.load = undefined;
      this.paces.clear();
      this.overloadedAt.clear();
      this.latestLatencyRatio = 1;
      this.pausedUntil.clear();
    }
    this.record = record;
  }

  get zone(): string {
    return this.record.zone;
  }

  /** Whether the gate accepts repeated calls according to its last report; true without a report. */
  get acceptsRepeats(): boolean {
    return this.load?.repeatRoom !== AcceptedRepeats.None;
  }

  isEjected(now: number): boolean {
    return this.outliers.isEjected(now);
  }

  onStart(): void {
    this.inFlight += 1;
  }

  /** Must be called once for each {@link onStart}. */
  onEnd(result: EndpointResult, now: number): void {
    this.inFlight -= 1;
    if (result === 'failed') this.outliers.onFailure(now);
    if (result === 'answered') this.outliers.onSuccess(now);
  }

  /** Records a latency as a multiple of the baseline. */
  onLatency(ratio: number, now: number): void {
    const before = this.latencyRatio(now);
    const sample = Math.min(ratio, MAX_LATENCY_RATIO);
    this.latestLatencyRatio = before + LATENCY_RATIO_WEIGHT * (sample - before);
    this.latencyRatioAt = now;
  }

  /** Records the load that the gate reported with an answer to a call of a traffic class. */
  onLoad(load: LoadReport, trafficClass: string, now: number): void {
    this.load = load;
    this.loadAt = now;
    if (load.kindPace === undefined) return;
    this.paces.set(trafficClass, { pace: load.kindPace, reportedAt: now });
  }

  /** The gate refused a call of a traffic class for overload, which may concern only that class. */
  onOverload(trafficClass: string, now: number): void {
    this.overloadedAt.set(trafficClass, now);
  }

  isOverloaded(trafficClass: string, now: number): boolean {
    const at = this.overloadedAt.get(trafficClass);
    return at !== undefined && now - at < OVERLOAD_MEMORY_MS;
  }

  pace(trafficClass: string, now: number): KindPace | undefined {
    const reported = this.paces.get(trafficClass);
    if (reported === undefined || now - reported.reportedAt > PACE_TTL_MS) return undefined;
    return reported.pace;
  }

  /** The gate announced when it wants the next call of a priority. @param until monotonic milliseconds */
  pause(priority: CallPriority, until: number): void {
    this.pausedUntil.set(priority, until);
  }

  /** Time for which the gate wants no calls of this priority, in milliseconds; 0 if it wants them now. */
  pausedForMs(priority: CallPriority, now: number): number {
    let longestMs = 0;
    for (const [paused, until] of this.pausedUntil) {
      if (until <= now) this.pausedUntil.delete(paused);
      // What is refused to more urgent calls is refused to all others.
      else if (paused <= priority) longestMs = Math.max(longestMs, until - now);
    }
    return longestMs;
  }

  unservedShare(now: number, isRepeatable: boolean): number {
    const share = this.load?.unservedShare ?? 0;
    if (share === 0) return 0;
    const decayMs = isRepeatable ? UNSERVED_DECAY_FOR_REPEATABLE_MS : UNSERVED_DECAY_MS;
    return share * Math.exp((this.loadAt - now) / decayMs);
  }

  /** Occupancy times latency ratio, divided by the weight of the slow start. Lower is better. */
  cost(context: CostContext): number {
    return (this.occupancy(context) * this.latencyRatio(context.now)) / this.warmupWeight(context);
  }

  latencyRatio(now: number): number {
    const kept = Math.exp((this.latencyRatioAt - now) / LATENCY_RATIO_DECAY_MS);
    return 1 + (this.latestLatencyRatio - 1) * kept;
  }

  /**
   * Uses the mean limit until the gate has reported its own: if a restarted endpoint counted as full, it would get no calls
   * to report a limit with.
   */
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
