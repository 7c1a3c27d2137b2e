/**
 * Finds the number of slots of a target by comparing latency at two levels of concurrency.
 *
 * A target with S slots serves up to S calls in their service time; beyond S, calls wait inside it
 * and latency grows with concurrency. The limiter compares calls at the full limit with calls at a
 * lowered one (a probe between two holds). When the probe's calls are clearly faster, calls were
 * waiting inside the target and the limit falls; otherwise it may rise. Because only levels that are
 * close in time are compared, a service that becomes slower as a whole does not pull the limit down,
 * which is where limits that compare with a remembered latency lose throughput. When the two holds
 * differ, the service itself changed in between and nothing is concluded (docs/design/admission.md).
 *
 * Waiting is measured on the target's own time, without nested calls, since their latency varies for
 * other reasons. It is then set against the whole time that a call holds its slot: with a limit of L,
 * `L / S` is the time held divided by the time held without waiting.
 */
import type { RandomSource } from '../common/random.js';
import {
  clampLimit,
  type ConcurrencyLimiter,
  type LatencySample,
  type LimiterBounds,
} from './concurrency-limiter.js';

/*
 * With all of the constants below, goodput was 93.7% and 94.2% of what the bottleneck could have finished, 95.5% and 95.0%
 * with a fixed limit at the true number of slots (surge-slow-ledger and surge-slow-ranker, 3 seeds;
 * docs/design/admission.md). None is measured by itself.
 */

/** Part of the limit that is in force during a probe. */
const PROBE_FRACTION = 0.8;
/** Samples of each hold and of the probe: fewer are noisier, more take longer. */
const SAMPLES_PER_PHASE = 60;
/**
 * Ratio of latencies above which too many calls were waiting inside the target. A limit a little
 * above the slots costs some waiting; one below them costs throughput, so the limit errs upwards.
 */
const WAITING_RATIO = 1.2;
/** Ratio below which there is room to grow. */
const ROOM_RATIO = 1.08;
/** How many standard errors a difference must have before the limit falls. */
const SIGNIFICANCE = 2.5;
/** When the holds differ by more than this ratio, the service changed meanwhile. */
const DRIFT_RATIO = 1.25;
/** Pause after a comparison, in milliseconds; it doubles while comparisons change nothing. */
const MIN_PAUSE_MS = 4_000;
const MAX_PAUSE_MS = 30_000;
/** Factor for each call that the target shed or broke off. */
const DROP_FACTOR = 0.95;
/** Weight of one call in the usual latency of its kind. */
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
    // The first full limit only starts the pause: a surge that has just begun tells little.
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

  /** Latency relative to the usual latency of its kind, so that a changing mix does not matter. */
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

  /** Calls inside the target for each that is being served, from the waiting that the probe saw. */
  private occupancyRatio(holdMean: number): number {
    const waitingMs = (holdMean - this.probe.mean) * this.meanLatencyMs;
    const servedMs = Math.max(this.meanDurationMs - waitingMs, this.meanDurationMs / 2);
    return this.meanDurationMs / servedMs;
  }

  private pause(pauseMs: number, now: number): void {
    this.pauseMs = pauseMs;
    // Spread, so that the targets of a service do not probe together.
    this.nextComparisonAt = now + pauseMs * (0.5 + this.random.next());
  }

  /** Whether the difference between holds and probe is larger than chance explains. */
  private isSignificant(holdMean: number): boolean {
    const holdVariance = (this.firstHold.meanVariance + this.secondHold.meanVariance) / 4;
    const standardError = Math.sqrt(holdVariance + this.probe.meanVariance);
    return holdMean - this.probe.mean > SIGNIFICANCE * standardError;
  }

  /** Waiting inside the target is proportional to the limit, so the ratio says how far to go. */
  private shrink(ratio: number): void {
    const maxRatio = this.holdLimit() / this.probeLimit();
    this.fractionalLimit = clampLimit(
      this.fractionalLimit / Math.min(ratio, maxRatio),
      this.bounds,
    );
  }

  private grow(): void {
    this.fractionalLimit = clampLimit(this.fractionalLimit + this.growthStep, this.bounds);
    // Comparisons that find room in a row grow faster, up to half the limit at once.
    this.growthStep = Math.max(1, Math.min(2 * this.growthStep, this.fractionalLimit / 2));
  }

  private onDrop(): void {
    this.dropped = true;
    this.fractionalLimit = clampLimit(this.fractionalLimit * DROP_FACTOR, this.bounds);
  }
}
