/**
 * Estimates which kinds of call are delayed by congestion downstream of their target. Targets do not report for which kinds
 * they make downstream calls, so the recent duration of a kind is compared with its baseline: a kind that succeeds in about
 * its usual time is not affected. Once established, the baseline rises only while downstream calls are not congested, so that
 * delayed answers are not taken as usual.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';
import { HttpStatus } from '../common/http-status.js';

/** Weight of one answer in the recent mean: covers about the last twenty answers. */
const WEIGHT = 0.05;
/** Minimum uncongested answers to assess a kind; with fewer, one slow answer would count as a delay. */
const MIN_ANSWERS = 15;
/** Minimum answers to report the baseline of a kind; low, since each of many gates gets only a few calls per second. */
const MIN_ANSWERS_FOR_BASELINE = 3;
/**
 * The baseline is the lowest recent mean, and may rise to its double within this time, in milliseconds. Based on time
 * instead of answers, so that frequent kinds do not lose their baseline sooner than infrequent ones.
 */
const BASELINE_DOUBLING_MS = 30_000;
/** Minimum duration of a failed answer and maximum duration of any answer, as multiples of the baseline. */
const FAILED_RATIO = 2.5;
const MAX_RATIO = 4;
/**
 * Ratios of the recent mean to the baseline above which a kind counts as delayed, and as fully delayed. Lower ratios mistake
 * noise for delay; higher ones detect a delay only after calls have exceeded their objective or timeout. A kind that takes four
 * fifths of its objective is late from 1.25 times its usual duration on, and timeouts may be at 1.5 times.
 */
const MIN_DELAYED_RATIO = 1.1;
const FULLY_DELAYED_RATIO = 1.5;
/** Maximum number of tracked kinds; bounds memory, since kinds change with the configured routes. */
const MAX_KINDS = 1_000;
/** Maximum downstream congestion level that counts as not congested; tolerates occasional waits. */
const MAX_UNCONGESTED_LEVEL = 0.05;

/** Whether downstream congestion is so low that answers may raise the baseline. @param level 0 to 1 */
export function isUncongested(level: number): boolean {
  return level <= MAX_UNCONGESTED_LEVEL;
}

interface KindTimes {
  answers: number;
  /** Answers received while downstream calls were not congested. */
  uncongestedAnswers: number;
  answeredAt: number;
  recentMs: number;
  baselineMs: number;
}

export class KindImpact {
  private readonly kinds = new BoundedMap<KindTimes>(MAX_KINDS);

  constructor(private readonly clock: Clock) {}

  /**
   * Records an answer of the target.
   * @param durationMs time that the call spent in the target, in milliseconds
   * @param status HTTP status of the answer
   * @param uncongested whether downstream calls were not congested; otherwise the answer does not count towards the
   *   answers that establish the baseline, nor raise it afterwards, so that a process started under overload does not keep
   *   an inflated one
   */
  onAnswer(kind: string, durationMs: number, status: number, uncongested = true): void {
    const times = this.times(kind, durationMs);
    const failedMs = status >= HttpStatus.InternalServerError ? FAILED_RATIO * times.baselineMs : 0;
    const sampleMs = Math.max(failedMs, Math.min(durationMs, MAX_RATIO * times.baselineMs));
    times.answers += 1;
    const weight = Math.max(WEIGHT, 1 / times.answers);
    times.recentMs += weight * (sampleMs - times.recentMs);
    if (uncongested) times.uncongestedAnswers += 1;
    const boundMs = uncongested ? this.raisedBaselineMs(times) : times.baselineMs;
    times.baselineMs =
      times.uncongestedAnswers < MIN_ANSWERS ? times.recentMs : Math.min(times.recentMs, boundMs);
    times.answeredAt = this.clock.now();
  }

  /** How much downstream congestion delays a kind, 0 (not at all) to 1 (fully); 1 if unknown. */
  impactOn(kind: string): number {
    const times = this.kinds.get(kind);
    if (times === undefined || times.uncongestedAnswers < MIN_ANSWERS) return 1;
    const ratio = times.recentMs / Math.max(1, times.baselineMs);
    return Math.min(
      1,
      Math.max(0, (ratio - MIN_DELAYED_RATIO) / (FULLY_DELAYED_RATIO - MIN_DELAYED_RATIO)),
    );
  }

  /** Duration of a kind without downstream congestion, in milliseconds; undefined if unknown. */
  baselineMs(kind: string): number | undefined {
    const times = this.kinds.get(kind);
    return times === undefined || times.answers < MIN_ANSWERS_FOR_BASELINE
      ? undefined
      : times.baselineMs;
  }

  private raisedBaselineMs({ baselineMs, answeredAt }: KindTimes): number {
    return baselineMs * 2 ** ((this.clock.now() - answeredAt) / BASELINE_DOUBLING_MS);
  }

  private times(kind: string, durationMs: number): KindTimes {
    const existing = this.kinds.get(kind);
    if (existing !== undefined) return existing;
    const answeredAt = this.clock.now();
    const created = {
      answers: 0,
      uncongestedAnswers: 0,
      answeredAt,
      recentMs: durationMs,
      baselineMs: durationMs,
    };
    this.kinds.set(kind, created);
    return created;
  }
}
