/**
 * Decides which calls a stopping ingress or gate still accepts, and how much time they get. Calls that it does not accept
 * are refused with the reason `leaving`. Pure.
 */
import type { CallContext } from './call-context.js';
import type { CallDurations } from './call-durations.js';
import { StopPhase, type StopProgress } from './stop-phase.js';

/**
 * Quantile of the recent durations of a kind that must fit into the time left, for a gate and for requests that may run only
 * once. It is high because a call that is refused can go to another process at no cost.
 */
const STRICT_QUANTILE = 0.95;
/**
 * The same for requests that may be repeated. It is lower because aborting such a request costs its caller no more than
 * refusing it.
 */
const LENIENT_QUANTILE = 0.75;

/** The target gets this much less time than the deadline leaves, so that its answer still arrives. */
const ANSWER_MARGIN_MS = 100;
/** Maximum of the answer margin, as a fraction of the time left. */
const MAX_ANSWER_MARGIN_FRACTION = 0.5;

/** Properties of a request that decide whether a stopping ingress accepts it. */
export interface AdmissibleRequest {
  /** Name of its route. */
  readonly kind: string;
  readonly repeatable: boolean;
  /** Whether the local target makes it while it runs another request. */
  readonly isNested: boolean;
}

/**
 * Whether an ingress accepts a request. Calls of the target, too, are refused when they would not finish in time: otherwise
 * the end of the stop would abort them after they had reached another target.
 */
export function ingressAccepts(
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

/** Whether a gate accepts a call for its target. A call that outlasts the process would be aborted while it runs. */
export function gateAccepts(
  progress: StopProgress,
  durations: CallDurations,
  kind: string,
): boolean {
  if (progress.phase === StopPhase.Running) return true;
  if (progress.phase !== StopPhase.Draining) return false;
  return durations.quantileMs(kind, STRICT_QUANTILE) < progress.answerTimeLeftMs;
}

/**
 * Limits the deadline of a request to the time that a stop leaves, so that a slow call ends with an answer of its target and
 * not with a connection reset. Returns the same context if the deadline is earlier.
 */
export function limitDeadlineToStop(context: CallContext, progress: StopProgress): CallContext {
  const { answerDeadlineAt } = progress;
  if (context.deadlineAt <= answerDeadlineAt) return context;
  const answerMarginMs = Math.min(
    ANSWER_MARGIN_MS,
    MAX_ANSWER_MARGIN_FRACTION * Math.max(0, progress.answerTimeLeftMs),
  );
  return { ...context, deadlineAt: answerDeadlineAt, answerMarginMs };
}
