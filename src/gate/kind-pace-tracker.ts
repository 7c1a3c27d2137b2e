/**
 * Tracks how long calls of each kind take in the target beside this gate: usually, and in the longest recent runs. Reported
 * to callers with every answer, so that they can send calls with little time left to targets where even a long run fits.
 * Covers one incarnation of the target.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';
import type { KindPace } from '../call/outcome.js';

/** Maximum number of tracked kinds; bounds memory, since kinds change with the configured routes. */
const MAX_KINDS = 1_000;

/** Smoothing factor of the usual duration, an exponential moving average over about twenty runs. */
const SMOOTHING_FACTOR = 0.05;

/** Cap for a single sample of the usual duration as a multiple of it, so that a few long runs don't raise it much. */
const MAX_SAMPLE_RATIO = 2;

/** Shorter usual durations count as this many milliseconds when a sample is capped. */
const MIN_USUAL_MS = 1;

/** Number of answered runs from which a pace is reported. */
const MIN_RUNS = 8;

/**
 * The longest run is that of the current and the previous generation of this many runs: enough to contain a few long ones if
 * some in a hundred are long.
 */
const GENERATION_RUNS = 64;

/** Age from which runs are forgotten if no further ones follow, in milliseconds. */
const MAX_AGE_MS = 600_000;

interface KindRuns {
  /** Moving average of the duration in milliseconds, without the excess of long runs. */
  usualMs: number;
  /** Answered runs. */
  answered: number;
  /** Duration of the longest run of the current generation, in milliseconds. */
  longestMs: number;
  /** Likewise of the previous generation. */
  previousLongestMs: number;
  /** Runs in the current generation. */
  generationRuns: number;
  /** Monotonic milliseconds. */
  latestAt: number;
}

export class KindPaceTracker {
  private readonly kinds = new BoundedMap<KindRuns>(MAX_KINDS);

  constructor(private readonly clock: Clock) {}

  /** Forgets all runs: the target was replaced. */
  reset(): void {
    this.kinds.clear();
  }

  /** Records a run that the target answered. @param durationMs time in the target, in milliseconds */
  onAnswered(kind: string, durationMs: number): void {
    const runs = this.runsOf(kind);
    runs.usualMs = updatedUsual(runs, durationMs);
    runs.answered += 1;
    this.recordRun(runs, durationMs);
  }

  /** Records a run that ended without an answer of the target: it would have taken at least this long. */
  onGivenUp(kind: string, durationMs: number): void {
    const runs = this.kinds.get(kind);
    // A run that was cancelled early says nothing about how long it would have taken.
    if (runs !== undefined && durationMs > runs.usualMs) this.recordRun(runs, durationMs);
  }

  /** Returns the durations of a kind; undefined before enough runs. */
  paceOf(kind: string): KindPace | undefined {
    const runs = this.kinds.get(kind);
    if (runs === undefined || runs.answered < MIN_RUNS) return undefined;
    if (this.clock.now() - runs.latestAt > MAX_AGE_MS) return undefined;
    const { usualMs, longestMs, previousLongestMs } = runs;
    return { usualMs, longMs: Math.max(usualMs, longestMs, previousLongestMs) };
  }

  private recordRun(runs: KindRuns, durationMs: number): void {
    runs.latestAt = this.clock.now();
    runs.longestMs = Math.max(runs.longestMs, durationMs);
    runs.generationRuns += 1;
    if (runs.generationRuns < GENERATION_RUNS) return;
    runs.previousLongestMs = runs.longestMs;
    runs.longestMs = 0;
    runs.generationRuns = 0;
  }

  private runsOf(kind: string): KindRuns {
    const known = this.kinds.get(kind);
    const now = this.clock.now();
    if (known !== undefined && now - known.latestAt <= MAX_AGE_MS) return known;
    const created: KindRuns = {
      usualMs: 0,
      answered: 0,
      longestMs: 0,
      previousLongestMs: 0,
      generationRuns: 0,
      latestAt: now,
    };
    this.kinds.set(kind, created);
    return created;
  }
}

/** Averages the first runs evenly, without a cap: the first ones may be unusually short or long. */
function updatedUsual({ usualMs, answered }: KindRuns, durationMs: number): number {
  const cap = answered < MIN_RUNS ? Infinity : MAX_SAMPLE_RATIO * Math.max(MIN_USUAL_MS, usualMs);
  const counted = Math.min(durationMs, cap);
  return usualMs + Math.max(SMOOTHING_FACTOR, 1 / (answered + 1)) * (counted - usualMs);
}
