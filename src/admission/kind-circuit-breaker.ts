/**
 * Circuit breaker for each kind of call at one target. When a target has become so slow that calls run until their deadlines
 * without an answer, the gate refuses further calls at once, so that callers still have time to use another target. Otherwise
 * each of its many callers would have to detect the slow target with calls of its own.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one run in the moving averages of its kind: covers about the last five. */
const WEIGHT = 0.2;
/** Fraction of answered runs below which the circuit opens: eight consecutive runs without an answer. */
const MIN_ANSWERED_RATIO = 0.2;
/** Maximum number of tracked kinds; bounds memory, since kinds change with the configured routes. */
const MAX_KINDS = 1_000;

/** Statistics of the runs of one kind. */
interface KindRuns {
  /** Moving average of the fraction of runs that were answered, 0 to 1. */
  answeredRatio: number;
  /** Moving average of the time to the answer, in milliseconds; 0 before the first answer. */
  meanAnswerMs: number;
  inFlight: number;
}

/** How a run ended. */
export enum RunResult {
  Answered,
  /** The target failed the run; not counted, since a failure does not show that the target is slow. */
  Failed,
  /** The run reached its deadline or was cancelled by its caller. */
  GivenUp,
}

export class KindCircuitBreaker {
  private readonly kinds = new BoundedMap<KindRuns>(MAX_KINDS);

  /**
   * Whether a call may be sent to the target. While the circuit is open, one call at a time is allowed as a probe; a single
   * answer closes the circuit.
   */
  allowsCall(kind: string): boolean {
    const runs = this.kinds.get(kind);
    return runs === undefined || runs.inFlight === 0 || runs.answeredRatio >= MIN_ANSWERED_RATIO;
  }

  /** Records that a call is about to be sent to the target. */
  onStart(kind: string): void {
    this.runsOf(kind).inFlight += 1;
  }

  /** Records the end of a call reported to {@link onStart}. @param durationMs time since then, in milliseconds */
  onEnd(kind: string, result: RunResult, durationMs: number): void {
    const runs = this.runsOf(kind);
    runs.inFlight = Math.max(0, runs.inFlight - 1);
    if (result === RunResult.Answered) {
      runs.meanAnswerMs =
        runs.meanAnswerMs === 0 ? durationMs : updatedMean(runs.meanAnswerMs, durationMs);
      runs.answeredRatio = updatedMean(runs.answeredRatio, 1);
    }
    // A run cancelled before the usual time to an answer does not show that the target is slow.
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
