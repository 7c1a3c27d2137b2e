/**
 * How long the latest calls of each kind took, so that a process that is about to end can tell which calls it would
 * not finish any more ({@link ingressTakes}, {@link gateTakes}). For both sides of a sidecar, each with its own.
 *
 * Owns the latest durations by kind; relies on being told of each whole answer. Pure.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Calls of a kind that are remembered: enough for a 0.95 quantile, few enough to follow a change. */
const SAMPLES_PER_KIND = 64;
/** Kinds that are remembered, to bound memory: routes come and go with the configuration. Beyond it all are forgotten. */
const MAX_KINDS = 500;

/** The latest durations of one kind, the oldest overwritten first. */
interface RecentDurations {
  readonly durationsMs: number[];
  nextIndex: number;
}

export class CallDurations {
  private readonly byKind = new BoundedMap<RecentDurations>(MAX_KINDS);

  /** A call of `kind` was over after `durationMs`. */
  onCall(kind: string, durationMs: number): void {
    const recent = this.byKind.get(kind);
    if (recent === undefined) {
      this.byKind.set(kind, { durationsMs: [durationMs], nextIndex: 1 % SAMPLES_PER_KIND });
      return;
    }
    recent.durationsMs[recent.nextIndex] = durationMs;
    recent.nextIndex = (recent.nextIndex + 1) % SAMPLES_PER_KIND;
  }

  /**
   * Time in milliseconds within which this part of the latest calls of a kind was over; 0 where none is known.
   * @param quantile over 0, up to 1
   */
  quantileMs(kind: string, quantile: number): number {
    const durationsMs = this.byKind.get(kind)?.durationsMs;
    if (durationsMs === undefined) return 0;
    const sorted = durationsMs.toSorted((one, other) => one - other);
    return sorted[Math.ceil(quantile * sorted.length) - 1]!;
  }
}
