/**
 * Whether a target still answers calls of a kind before it is given up on. Asked by a gate before it lets a call in: a target
 * that has turned many times slower works on calls until their deadlines and answers none, and each caller would have to find
 * that out with calls of its own, again and again. Refused at once, a call has time for another target.
 *
 * Answers the load of many callers with a few calls each, before targets of which some are many times slower than usual. Owns
 * the ends of the latest runs of each kind; relies on the gate to tell every end. Pure.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one run in what is known of its kind: about the last five count, so that it turns within so many. */
const WEIGHT = 0.2;
/** Part of the runs below which a kind counts as not answered: eight without any answer in a row. */
const MIN_ANSWERED_RATIO = 0.2;
/** Kinds that are remembered, a bound on memory; routes come and go with the configuration. */
const MAX_KINDS = 1_000;

/** The runs of one kind. */
interface KindRuns {
  /** Part of the latest ones that were answered, 0 to 1. */
  answeredRatio: number;
  /** Mean time to the answer, in milliseconds; 0 before the first. */
  meanAnswerMs: number;
  inFlight: number;
}

/** How a run ended. */
export enum RunResult {
  Answered,
  /** The target failed it, which says nothing of its speed. */
  Failed,
  /** It was given up, at its deadline or by its caller. */
  GivenUp,
}

export class RunOutcomes {
  private readonly kinds = new BoundedMap<KindRuns>(MAX_KINDS);

  /**
   * Whether a call can be expected to be answered. Where that is not so, one at a time is let in all the same: it finds out
   * when the target is well again.
   */
  mayBeAnswered(kind: string): boolean {
    const runs = this.kinds.get(kind);
    return runs === undefined || runs.inFlight === 0 || runs.answeredRatio >= MIN_ANSWERED_RATIO;
  }

  /** A call is about to arrive at the target. */
  onBegin(kind: string): void {
    this.runsOf(kind).inFlight += 1;
  }

  /** A call that {@link onBegin} told of is over. @param durationMs time since then, in milliseconds */
  onEnd(kind: string, result: RunResult, durationMs: number): void {
    const runs = this.runsOf(kind);
    runs.inFlight = Math.max(0, runs.inFlight - 1);
    if (result === RunResult.Answered) {
      runs.meanAnswerMs =
        runs.meanAnswerMs === 0 ? durationMs : updatedMean(runs.meanAnswerMs, durationMs);
      runs.answeredRatio = updatedMean(runs.answeredRatio, 1);
    }
    // A run that was given up sooner than answers come might have been answered.
    if (result === RunResult.GivenUp && durationMs > runs.meanAnswerMs) {
      runs.answeredRatio = updatedMean(runs.answeredRatio, 0);
    }
  }

  private runsOf(kind: string): KindRuns {
    let runs = this.kinds.get(kind);
    if (runs === undefined) {
      runs = { answeredRatio: 1, meanAnswerMs: 0, inFlight: 0 };
      this.kinds.set(kind, runs);
    }
    return runs;
  }
}

function updatedMean(mean: number, sample: number): number {
  return mean + WEIGHT * (sample - mean);
}
