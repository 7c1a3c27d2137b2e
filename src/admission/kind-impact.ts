/**
 * Which kinds of call are held up by what is congested below their target. A target makes calls for some
 * kinds and none for others, and does not say for which: a kind that takes as long as ever, and
 * succeeds, while calls below are held up is not one of them.
 */

/** Weight of one answer in the usual and in the recent time. */
const USUAL_WEIGHT = 0.05;
const RECENT_WEIGHT = 0.1;
/** Answers from which the usual time of a kind is known. */
const MIN_ANSWERS = 20;
/** At a lower level the time of an answer counts as usual. */
const CALM_LEVEL = 0.05;
/** A failed answer counts as one that took this multiple of the usual time. */
const FAILED_RATIO = 2;
/** An answer counts as no longer than this multiple, and a kind as fully held up from the other on. */
const MAX_RATIO = 3;
const FULL_RATIO = 1.3;
/** Kinds that are remembered; routes come and go with the configuration. */
const MAX_KINDS = 1_000;
const FIRST_SERVER_ERROR = 500;

interface KindTimes {
  usualMs: number;
  answers: number;
  /** Recent time as a multiple of the usual one. */
  recentRatio: number;
}

export class KindImpact {
  private readonly kinds = new Map<string, KindTimes>();

  /**
   * The target answered a call.
   * @param heldMs time that the call was in the target, in milliseconds
   * @param level part of the target's calls that are held up, 0 to 1
   */
  onAnswer(kind: string, heldMs: number, status: number, level: number): void {
    const times = this.times(kind, heldMs);
    const failed = status >= FIRST_SERVER_ERROR;
    if (level < CALM_LEVEL && !failed) {
      times.usualMs += USUAL_WEIGHT * (heldMs - times.usualMs);
      times.answers += 1;
    }
    const ratio = failed ? FAILED_RATIO : Math.min(MAX_RATIO, heldMs / Math.max(1, times.usualMs));
    times.recentRatio += RECENT_WEIGHT * (ratio - times.recentRatio);
  }

  /** How much congestion below the target holds a kind up, 0 to 1; 1 where that is not known. */
  of(kind: string): number {
    const times = this.kinds.get(kind);
    if (times === undefined || times.answers < MIN_ANSWERS) return 1;
    return Math.min(1, Math.max(0, (times.recentRatio - 1) / (FULL_RATIO - 1)));
  }

  private times(kind: string, heldMs: number): KindTimes {
    const existing = this.kinds.get(kind);
    if (existing !== undefined) return existing;
    if (this.kinds.size >= MAX_KINDS) this.kinds.clear();
    const created = { usualMs: heldMs, answers: 0, recentRatio: 1 };
    this.kinds.set(kind, created);
    return created;
  }
}
