/**
 * Which kinds of call are delayed by congestion downstream of their target. A target makes calls for some
 * kinds and none for others, and does not say for which: a kind that takes about as long as ever, and
 * succeeds, while calls downstream are congested is not one of them. Asked by a gate for the level that it reports, and
 * for the limit by kind. Usual times are learned only while nothing downstream is congested: worth 0.763 with that and
 * 0.776 without on the fan-in graph at 2.4 times demand, 0.806 and 0.793 on the deep search graph at 2.2, both starting
 * under the overload (docs/rounds/order-mesh.md).
 *
 * Owns the times of each kind; relies on the caller for whether downstream is calm. Pure.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';
import { HttpStatus } from '../common/http-status.js';

/** Weight of one answer in the recent mean: it follows some twenty answers. */
const WEIGHT = 0.05;
/** Answers from which a kind is judged; fewer let one slow answer count as delay. */
const MIN_ANSWERS = 15;
/** Answers from which the usual time of a kind is told: a gate of many gets a few a second. */
const MIN_ANSWERS_FOR_BASELINE = 3;
/**
 * The usual time is the lowest recent mean; it doubles in this time, in milliseconds. Counted in time and
 * not in answers: a kind with hundreds of calls a second is to remember as long as one with few.
 */
const BASELINE_DOUBLING_MS = 30_000;
/** A failed answer counts as at least this multiple of the usual time, any answer as no more than that. */
const FAILED_RATIO = 2.5;
const MAX_RATIO = 4;
/**
 * Recent time over usual time from which a kind counts as delayed, and as fully delayed: a lower ratio takes chance for
 * delay, a higher one reports it late: a kind whose chain of calls takes four fifths of its objective is late from 1.25 on.
 * Time limits may lie at 1.5 times the usual time.
 */
const MIN_DELAYED_RATIO = 1.1;
const FULLY_DELAYED_RATIO = 1.5;
/** Kinds that are remembered; routes come and go with the configuration. Bounds memory. */
const MAX_KINDS = 1_000;
/** Part of the downstream calls up to which they count as not congested: chance waits. */
const MAX_UNCONGESTED_LEVEL = 0.05;

/** Whether calls downstream are congested so little that answers tell the usual time of their kinds. */
export function isCalm(level: number): boolean {
  return level <= MAX_UNCONGESTED_LEVEL;
}

interface KindTimes {
  answers: number;
  /** Those while nothing downstream was congested. */
  uncongestedAnswers: number;
  answeredAt: number;
  recentMs: number;
  baselineMs: number;
}

export class KindImpact {
  private readonly kinds = new BoundedMap<KindTimes>(MAX_KINDS);

  constructor(private readonly clock: Clock) {}

  /**
   * The target answered a call.
   * @param durationMs time that the call was in the target, in milliseconds
   * @param uncongested whether nothing downstream was congested; a process that starts under an overload is not to
   *   take what it sees for usual
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

  /** How much congestion downstream of the target delays a kind, 0 to 1; 1 where that is not known. */
  of(kind: string): number {
    const times = this.kinds.get(kind);
    if (times === undefined || times.uncongestedAnswers < MIN_ANSWERS) return 1;
    const ratio = times.recentMs / Math.max(1, times.baselineMs);
    return Math.min(
      1,
      Math.max(0, (ratio - MIN_DELAYED_RATIO) / (FULLY_DELAYED_RATIO - MIN_DELAYED_RATIO)),
    );
  }

  /** Time that a kind takes while nothing downstream is congested, in milliseconds, as far as is known. */
  usualMs(kind: string): number | undefined {
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
