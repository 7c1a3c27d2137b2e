/**
 * Tracks the runs in a target, to estimate how likely the calls that it makes come from a repeated run. Targets pass no
 * context on, so a call can't be matched with its run. The estimate is the largest fraction of repeats among the runs of one
 * kind: an upper bound, and exact while there is only one run.
 */

interface KindRuns {
  running: number;
  /** Sum of the repeat shares of these runs. */
  repeatShareSum: number;
}

/** Shares are rounded to multiples of this, so that rounding errors do not add up. Finer than a share in a frame (0.01). */
const SHARE_PRECISION = 1e-6;

export class RepeatedRuns {
  private readonly kinds = new Map<string, KindRuns>();

  /** A run begins. @param repeatShare 1 for a repeat, otherwise the probability that a repeated run made the call */
  onStart(kind: string, repeatShare: number): void {
    const runs = this.kinds.get(kind);
    if (runs === undefined) this.kinds.set(kind, { running: 1, repeatShareSum: repeatShare });
    else {
      runs.running += 1;
      runs.repeatShareSum += repeatShare;
    }
  }

  /** A run ends. Takes the same arguments as its {@link onStart}. */
  onEnd(kind: string, repeatShare: number): void {
    const runs = this.kinds.get(kind);
    if (runs === undefined) return;
    runs.running -= 1;
    runs.repeatShareSum -= repeatShare;
    if (runs.running === 0) this.kinds.delete(kind);
  }

  /** Upper bound on the probability that a call made by the target now comes from a repeated run, 0 to 1. */
  estimateRepeatShare(): number {
    let highest = 0;
    for (const { running, repeatShareSum } of this.kinds.values()) {
      highest = Math.max(highest, repeatShareSum / running);
    }
    return Math.round(highest / SHARE_PRECISION) * SHARE_PRECISION;
  }
}
