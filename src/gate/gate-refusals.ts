/**
 * Builds the refusals of inbound calls, one function for each cause. Those of a connection to the
 * target that broke are in `gate/broken-connection.ts`, those of a gate before it starts a call in
 * `gate/arrival-checks.ts`. Pure.
 */
import type { AdmissionRefusal } from '../admission/admission-controller.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import { NO_RETRY_AFTER, SHORT_RETRY_SECONDS } from '../call/retry-after.js';
import type { AnswerFault } from '../call/transport.js';
import type { Verdict } from '../common/verdict.js';
import type { ClaimDecision } from '../dedup/claim.js';
import { kindRefusalDetail, type KindRefusal } from './kind-refusal.js';

/** A refusal, and whether callers are to treat it as overload. */
export interface GateRefusal {
  readonly refusal: Refusal;
  readonly isOverload: boolean;
}

const NOT_ADMITTED_DETAILS: Record<AdmissionRefusal, string> = {
  overload: 'The target is at its limit.',
  deadline: 'The call could not have finished before its deadline.',
  leaving: 'The target is leaving.',
  'target-rate-limit': 'The target accepts no more calls a second.',
};

/** The process accepts no more calls of this kind. */
export function leavingRefusal(): GateRefusal {
  return retryableRefusal('leaving', 'not-run', 'The target is leaving.');
}

/** The target is too slow at present to answer in time. */
export function slowTargetRefusal(): GateRefusal {
  return retryableRefusal(
    'unavailable',
    'not-run',
    'The target takes too long now to answer in time.',
  );
}

/** The target is slowed down, and the caller has another one for a call that may run only once. */
export function slowedTargetRefusal(): GateRefusal {
  return retryableRefusal(
    'target-slowed',
    'not-run',
    'The target is slowed down or fails, and another one can run the call.',
  );
}

/** The limit of the call's kind is reached. */
export function kindLimitRefusal(reached: KindRefusal): GateRefusal {
  return overload(retryableRefusal('overload', 'not-run', kindRefusalDetail(reached)));
}

/** The retry budget has no room for a repeat. */
export function retryBudgetRefusal(): GateRefusal {
  return retryableRefusal(
    'retry-budget',
    'not-run',
    'The service has had all the repeats that it may.',
  );
}

/**
 * The admission controller refused the call.
 * @param retryAfterSeconds as returned by the admission controller
 */
export function notAdmittedRefusal(
  reason: AdmissionRefusal,
  retryAfterSeconds: number,
): GateRefusal {
  const detail = NOT_ADMITTED_DETAILS[reason];
  const refusal: Refusal = { reason, verdict: 'not-run', retryAfterSeconds, detail };
  return { refusal, isOverload: reason === 'overload' || reason === 'deadline' };
}

/** The claim on the idempotency key was not granted. */
export function claimRefusal(decision: Exclude<ClaimDecision, { type: 'granted' }>): GateRefusal {
  if (decision.type === 'unknown')
    return retryableRefusal('duplicate-unknown', 'not-run', decision.detail);
  return finalRefusal('duplicate', decision.verdict, decision.detail);
}

/**
 * The answer is not the target's answer to this request.
 * @param isTargetNearCapacity whether a rejection by the target can be due to overload
 */
export function answerFaultRefusal(fault: AnswerFault, isTargetNearCapacity: boolean): GateRefusal {
  if (fault === 'foreign') {
    return finalRefusal('broken-answer', 'may-have-run', 'The answer was not to this request.');
  }
  const detail = 'The target turned the request away.';
  const isOverload = fault === 'not-executed' && isTargetNearCapacity;
  if (!isOverload) return retryableRefusal('unavailable', 'not-run', detail);
  return overload(retryableRefusal('overload', 'not-run', detail));
}

/** The request body could not be read completely. */
export function bodyBrokeRefusal(verdict: Verdict): GateRefusal {
  return finalRefusal('bad-request', verdict, 'The request body broke off.');
}

/** The deadline passed while the call was in the target. */
export function deadlineRefusal(verdict: Verdict): GateRefusal {
  return retryableRefusal('deadline', verdict, 'The target did not answer before the deadline.');
}

/** The process exits before the target has answered. */
export function processEndRefusal(verdict: Verdict): GateRefusal {
  return retryableRefusal('leaving', verdict, 'The process had to end before the target answered.');
}

/** A refusal after which the caller may retry soon. */
function retryableRefusal(reason: RefusalReason, verdict: Verdict, detail: string): GateRefusal {
  const refusal: Refusal = { reason, verdict, retryAfterSeconds: SHORT_RETRY_SECONDS, detail };
  return { refusal, isOverload: false };
}

/** A refusal after which a retry does not help. */
function finalRefusal(reason: RefusalReason, verdict: Verdict, detail: string): GateRefusal {
  const refusal: Refusal = { reason, verdict, retryAfterSeconds: NO_RETRY_AFTER, detail };
  return { refusal, isOverload: false };
}

function overload({ refusal }: GateRefusal): GateRefusal {
  return { refusal, isOverload: true };
}
