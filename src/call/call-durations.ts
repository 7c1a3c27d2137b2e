/**
 * Durations of the most recent calls of each kind. A stopping process uses them to refuse the calls that it would not
 * finish in time ({@link ingressAccepts}, {@link gateAccepts}). The ingress and the gate of a sidecar have one instance each.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Number of durations kept per kind: enough for a 0.95 quantile, few enough to follow a change. */
const SAMPLES_PER_KIND = 64;
/** Maximum number of kinds, to bound memory when routes change. All entries are dropped when it is exceeded. */
const MAX_KINDS = 500;

/** Ring buffer of the durations of one kind. */
interface RecentDurations {
  readonly durationsMs: number[];
  nextIndex: number;
}

export class CallDurations {
  private readonly byKind = new BoundedMap<RecentDurations>(MAX_KINDS);

  /** Records the duration of a completed call. */
  record(kind: string, durationMs: number): void {
    const recent = this.byKind.get(kind);
    if (recent === undefined) {
      this.byKind.set(kind, { durationsMs: [durationMs], nextIndex: 1 % SAMPLES_PER_KIND });
      return;
    }
    recent.durationsMs[recent.nextIndex] = durationMs;
    recent.nextIndex = (recent.nextIndex + 1) % SAMPLES_PER_KIND;
  }

  /**
   * Returns a quantile of the recent durations of a kind in milliseconds, or 0 if there are none.
   * @param quantile above 0, at most 1
   */
  quantileMs(kind: string, quantile: number): number {
    const durationsMs = this.byKind.get(kind)?.durationsMs;
    if (durationsMs === undefined) return 0;
    const sorted = durationsMs.toSorted((one, other) => one - other);
    return sorted[Math.ceil(quantile * sorted.length) - 1]!;
  }
}
