/**
 * Which work a stopping process still takes, and how long it may last. The rule `leaving` of an ingress, of a gate and of
 * what an edge sends.
 *
 * Owns nothing; pure. Relies on the progress of the stop and on how long calls of the kind have taken here.
 */
import type { CallContext } from './call-context.js';
import type { CallDurations } from './call-durations.js';
import { StopPhase, type StopProgress } from './stop-phase.js';

/**
 * Part of the latest calls of a kind that must have been over within the time left. A call that is refused can go to
 * another process at no cost, so a gate, and an ingress whose request may run only once, take what is nearly sure.
 *
 */
const STRICT_QUANTILE = 0.95;
/**
 * For requests that may be repeated: to refuse one costs its caller as much as to lose it, and the work of the run
 * besides, where a target makes it.
 */
const LENIENT_QUANTILE = 0.75;

/**
 * A target is told to stop this long before the last moment for its answer, so that its own answer still gets there.
 * A tenth of a second is many times what an answer takes between machines.
 */
const ANSWER_MARGIN_MS = 100;
/** Most that is kept for the answer, as a part of the time left. */
const MAX_ANSWER_MARGIN_FRACTION = 0.5;

/** A request that an ingress may take. */
export interface AdmissibleRequest {
  /** Name of its route. */
  readonly kind: string;
  readonly repeatable: boolean;
  /** Whether the target of this machine makes it for a run. */
  readonly isNested: boolean;
}

/**
 * Whether an ingress takes a request. Taken until the end, calls of the target were cut there after they had arrived (8 in
 * a stop of 2 s, runs of 4 s that make calls of 120 ms).
 */
export function ingressTakes(
  progress: StopProgress,
  durations: CallDurations,
  { kind, repeatable, isNested }: AdmissibleRequest,
): boolean {
  switch (progress.phase) {
    case StopPhase.Running:
      return true;
    case StopPhase.Ending:
      return false;
    case StopPhase.Finishing:
    case StopPhase.Draining: {
      if (progress.phase === StopPhase.Finishing && !isNested) return false;
      const quantile = repeatable ? LENIENT_QUANTILE : STRICT_QUANTILE;
      return durations.quantileMs(kind, quantile) < progress.answerTimeLeftMs;
    }
  }
}

/** Whether a gate takes a call for its target. Calls that outlast the process were broken off at the target. */
export function gateTakes(progress: StopProgress, durations: CallDurations, kind: string): boolean {
  if (progress.phase === StopPhase.Running) return true;
  if (progress.phase !== StopPhase.Draining) return false;
  return durations.quantileMs(kind, STRICT_QUANTILE) < progress.answerTimeLeftMs;
}

/**
 * The context of a request with no more time than a stop under way leaves it: a call that takes longer than usual ends with
 * its target's own answer, and not with a reset connection.
 */
export function boundedByStop(context: CallContext, progress: StopProgress): CallContext {
  const { answerDeadlineAt } = progress;
  if (context.deadlineAt <= answerDeadlineAt) return context;
  const answerMarginMs = Math.min(
    ANSWER_MARGIN_MS,
    MAX_ANSWER_MARGIN_FRACTION * Math.max(0, progress.answerTimeLeftMs),
  );
  return { ...context, deadlineAt: answerDeadlineAt, answerMarginMs };
}
