/**
 * Which runs in a target are repeats. A target passes no context on, so the calls that it makes can't be tied to
 * the runs that make them: each is taken for a repeat to the part that the runs of one kind have, of the kind
 * where that is highest, which bounds the true part from above. With one run in the target it is exact.
 *
 * Owns the runs that are in one target now; relies on the gate to end each run that it began.
 */

interface KindRuns {
  running: number;
  /** Sum of the shares of those runs. */
  repeatShareSum: number;
}

/** Shares are rounded to this, so that sums of fractions end at 0. Below what a frame can say of a share (0.01). */
const SHARE_PRECISION = 1e-6;

export class RepeatedRuns {
  private readonly kinds = new Map<string, KindRuns>();

  /** A run begins. @param repeatShare 1 for a repeat, or how likely a repeated run has made it */
  onStart(kind: string, repeatShare: number): void {
    const runs = this.kinds.get(kind);
    if (runs === undefined) this.kinds.set(kind, { running: 1, repeatShareSum: repeatShare });
    else {
      runs.running += 1;
      runs.repeatShareSum += repeatShare;
    }
  }

  /** Ends what {@link onStart} began with the same values. */
  onEnd(kind: string, repeatShare: number): void {
    const runs = this.kinds.get(kind);
    if (runs === undefined) return;
    runs.running -= 1;
    runs.repeatShareSum -= repeatShare;
    if (runs.running === 0) this.kinds.delete(kind);
  }

  /** How likely a call that the target makes now comes from a repeat, at most: 0 to 1. */
  share(): number {
    let highest = 0;
    for (const { running, repeatShareSum } of this.kinds.values()) {
      highest = Math.max(highest, repeatShareSum / running);
    }
    return Math.round(highest / SHARE_PRECISION) * SHARE_PRECISION;
  }
}
