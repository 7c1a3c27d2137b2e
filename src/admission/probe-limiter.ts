/**
 * Estimates the number of slots of a target by comparing latency at two levels of concurrency.
 *
 * A target with S slots serves up to S calls at once; beyond S, calls wait inside it and latency grows with concurrency. The
 * limiter compares a phase at a lowered limit (the probe) with the phases at the full limit before and after it (the holds).
 * If calls of the probe are clearly faster, calls were waiting inside the target and the limit falls; otherwise it may rise.
 * Only adjacent phases are compared, so a service that becomes slower as a whole does not lower the limit. If the two holds
 * differ, the service itself has changed and the comparison is discarded (docs/design/admission.md).
 *
 * The comparison uses latency without nested calls, which varies for other reasons. The waiting time found is then related
 * to the total duration of a call: with a limit of L, `L / S` is the duration divided by the duration without waiting.
 */
import type { RandomSource } from '../common/random.js';
import {
  clampLimit,
  type ConcurrencyLimiter,
  type LatencySample,
  type LimiterBounds,
} from './concurrency-limiter.js';

/** Fraction of the limit that is in force during a probe. */
const PROBE_FRACTION = 0.8;
/** Samples per phase: fewer are noisier, more take longer. */
const SAMPLES_PER_PHASE = 60;
/**
 * Ratio of calls inside the target to calls being served above which the limit falls. A limit slightly above the number of
 * slots causes some waiting, one below it loses throughput, so the threshold tolerates some waiting.
 */
const WAITING_RATIO = 1.2;
/** Ratio below which the limit rises. */
const ROOM_RATIO = 1.08;
/** Minimum difference of the latencies, in standard errors, for the limit to fall. */
const SIGNIFICANCE = 2.5;
/** Ratio between the two holds above which the comparison is discarded. */
const DRIFT_RATIO = 1.25;
/** Bounds of the pause after a comparison, in milliseconds; it doubles while comparisons leave the limit unchanged. */
const MIN_PAUSE_MS = 4_000;
const MAX_PAUSE_MS = 30_000;
/** Factor applied to the limit for each dropped call. */
const DROP_FACTOR = 0.95;
/** Weight of one call in the moving averages of latency and duration. */
const MEAN_WEIGHT = 0.01;

/** Mean and variance of the latencies of one phase (Welford's method). */
class PhaseLatency {
  count = 0;
  mean = 0;
  private squaredDeviations = 0;

  add(value: number): void {
    this.count += 1;
    const delta = value - this.mean;
    this.mean += delta / this.count;
    this.squaredDeviations += delta * (value - this.mean);
  }

  /** Variance of the mean. */
  get meanVariance(): number {
    return this.squaredDeviations / Math.max(1, this.count - 1) / Math.max(1, this.count);
  }
}

type Phase = 'idle' | 'first-hold' | 'probe' | 'second-hold';

export class ProbeLimiter implements ConcurrencyLimiter {
  private fractionalLimit: number;
  private phase: Phase = 'idle';
  private phaseStartedAt = 0;
  private nextComparisonAt: number | undefined;
  private pauseMs = MIN_PAUSE_MS;
  private firstHold = new PhaseLatency();
  private probe = new PhaseLatency();
  private secondHold = new PhaseLatency();
  private readonly kindMeans = new Map<string, number>();
  private meanLatencyMs = 0;
  private meanDurationMs = 0;
  private dropped = false;
  private growthStep = 1;

  constructor(
    private readonly bounds: LimiterBounds,
    private readonly random: RandomSource,
  ) {
    this.fractionalLimit = bounds.initial;
  }

  get limit(): number {
    return this.phase === 'probe' ? this.probeLimit() : this.holdLimit();
  }

  onSample(sample: LatencySample, now: number): void {
    if (sample.outcome === 'cancelled') return;
    if (sample.outcome === 'dropped') {
      this.onDrop();
      return;
    }
    const latency = this.normalise(sample);
    const isFull = sample.inFlight >= this.limit;
    if (this.phase !== 'idle') {
      if (isFull && sample.startedAt >= this.phaseStartedAt) this.collect(latency, now);
      return;
    }
    // Reaching the limit for the first time only starts the pause: latencies at the start of a surge are not representative.
    if (isFull && this.nextComparisonAt === undefined) this.pause(MIN_PAUSE_MS, now);
    if (this.nextComparisonAt !== undefined && now >= this.nextComparisonAt)
      this.startComparison(now);
  }

  private holdLimit(): number {
    return Math.floor(this.fractionalLimit);
  }

  private probeLimit(): number {
    return Math.max(1, Math.floor(this.holdLimit() * PROBE_FRACTION));
  }

  /** Latency relative to the mean of its kind, so that a changing mix of kinds has no effect. */
  private normalise(sample: LatencySample): number {
    const mean = this.kindMeans.get(sample.kind) ?? sample.latencyMs;
    this.kindMeans.set(sample.kind, mean + MEAN_WEIGHT * (sample.latencyMs - mean));
    const weight = this.meanDurationMs === 0 ? 1 : MEAN_WEIGHT;
    this.meanLatencyMs += weight * (sample.latencyMs - this.meanLatencyMs);
    this.meanDurationMs += weight * (sample.durationMs - this.meanDurationMs);
    return sample.latencyMs / Math.max(mean, 0.01);
  }

  private startComparison(now: number): void {
    this.firstHold = new PhaseLatency();
    this.probe = new PhaseLatency();
    this.secondHold = new PhaseLatency();
    this.dropped = false;
    this.startPhase('first-hold', now);
  }

  private startPhase(phase: Phase, now: number): void {
    this.phase = phase;
    this.phaseStartedAt = now;
  }

  private collect(latency: number, now: number): void {
    switch (this.phase) {
      case 'first-hold':
        this.firstHold.add(latency);
        if (this.firstHold.count >= SAMPLES_PER_PHASE) this.startPhase('probe', now);
        return;
      case 'probe':
        this.probe.add(latency);
        if (this.probe.count >= SAMPLES_PER_PHASE) this.startPhase('second-hold', now);
        return;
      case 'second-hold':
        this.secondHold.add(latency);
        if (this.secondHold.count >= SAMPLES_PER_PHASE) this.finishComparison(now);
        return;
      case 'idle':
    }
  }

  private finishComparison(now: number): void {
    this.startPhase('idle', now);
    const drift = this.firstHold.mean / this.secondHold.mean;
    if (drift > DRIFT_RATIO || drift < 1 / DRIFT_RATIO) {
      this.pause(MIN_PAUSE_MS, now);
      return;
    }
    const holdMean = (this.firstHold.mean + this.secondHold.mean) / 2;
    const ratio = this.occupancyRatio(holdMean);
    if (ratio > WAITING_RATIO && this.isSignificant(holdMean)) {
      this.growthStep = 1;
      this.shrink(ratio);
      this.pause(0, now);
    } else if (ratio < ROOM_RATIO && !this.dropped) {
      this.grow();
      this.pause(MIN_PAUSE_MS, now);
    } else {
      this.growthStep = 1;
      this.pause(Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, 2 * this.pauseMs)), now);
    }
  }

  /** Ratio of calls inside the target to calls being served, from the waiting time that the probe avoided. */
  private occupancyRatio(holdMean: number): number {
    const waitingMs = (holdMean - this.probe.mean) * this.meanLatencyMs;
    const servedMs = Math.max(this.meanDurationMs - waitingMs, this.meanDurationMs / 2);
    return this.meanDurationMs / servedMs;
  }

  private pause(pauseMs: number, now: number): void {
    this.pauseMs = pauseMs;
    // Jitter, so that the targets of a service do not probe at the same time.
    this.nextComparisonAt = now + pauseMs * (0.5 + this.random.next());
  }

  /** Whether the difference between the holds and the probe is statistically significant. */
  private isSignificant(holdMean: number): boolean {
    const holdVariance = (this.firstHold.meanVariance + this.secondHold.meanVariance) / 4;
    const standardError = Math.sqrt(holdVariance + this.probe.meanVariance);
    return holdMean - this.probe.mean > SIGNIFICANCE * standardError;
  }

  /** Divides the limit by the occupancy ratio, but goes no lower than the limit of the probe. */
  private shrink(ratio: number): void {
    const maxRatio = this.holdLimit() / this.probeLimit();
    this.fractionalLimit = clampLimit(
      this.fractionalLimit / Math.min(ratio, maxRatio),
      this.bounds,
    );
  }

  private grow(): void {
    this.fractionalLimit = clampLimit(this.fractionalLimit + this.growthStep, this.bounds);
    // The step doubles with each consecutive increase, up to half the limit.
    this.growthStep = Math.max(1, Math.min(2 * this.growthStep, this.fractionalLimit / 2));
  }

  private onDrop(): void {
    this.dropped = true;
    this.fractionalLimit = clampLimit(this.fractionalLimit * DROP_FACTOR, this.bounds);
  }
}
