/**
 * Every refusal by which a call ends at the process beside its target, one function a rule: its reason, whether the
 * request may have run, when it may come again, and the cause as log lines give it. Pure. `broken-run.ts` has those of a
 * connection to the target that broke, `arrival-rules.ts` those of a gate before there is a call.
 */
import type { AdmissionRefusal } from '../admission/admission-controller.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import { NO_RETRY_AFTER, SOON_SECONDS } from '../call/retry-after.js';
import type { AnswerFault } from '../call/transport.js';
import type { Verdict } from '../common/verdict.js';
import type { ClaimDecision } from '../dedup/claim.js';
import { kindRefusalDetail, type KindRefusal } from './kind-refusal.js';

/** A refusal, and whether it tells callers of overload. */
export interface GateRefusal {
  readonly refusal: Refusal;
  readonly isOverload: boolean;
}

const NOT_ADMITTED_DETAILS: Record<AdmissionRefusal, string> = {
  overload: 'The target is at its limit.',
  deadline: 'The call could not have finished before its deadline.',
  leaving: 'The target is leaving.',
};

/** The process takes no more calls of the kind. */
export function leavingRefusal(): GateRefusal {
  return retryableRefusal('leaving', 'not-run', 'The target is leaving.');
}

/** The target takes too long at present. */
export function slowTargetRefusal(): GateRefusal {
  return retryableRefusal(
    'unavailable',
    'not-run',
    'The target takes too long now to answer in time.',
  );
}

/** The limit by kind is reached. */
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

/** Admission has no slot for the call in its time. @param retryAfterSeconds as admission says */
export function notAdmittedRefusal(
  reason: AdmissionRefusal,
  retryAfterSeconds: number,
): GateRefusal {
  const detail = NOT_ADMITTED_DETAILS[reason];
  const refusal: Refusal = { reason, verdict: 'not-run', retryAfterSeconds, detail };
  return { refusal, isOverload: reason !== 'leaving' };
}

/** The idempotency key was not granted. */
export function claimRefusal(decision: Exclude<ClaimDecision, { type: 'granted' }>): GateRefusal {
  if (decision.type === 'unknown')
    return retryableRefusal('duplicate-unknown', 'not-run', decision.detail);
  return finalRefusal('duplicate', decision.verdict, decision.detail);
}

/**
 * What came back is not the target's answer to the request.
 * @param isTargetNearCapacity whether the target can be short of room
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

/** The request's body could not be read to its end. */
export function bodyBrokeRefusal(verdict: Verdict): GateRefusal {
  return finalRefusal('bad-request', verdict, 'The request body broke off.');
}

/** The deadline passed while the call was in the target. */
export function deadlineRefusal(verdict: Verdict): GateRefusal {
  return retryableRefusal('deadline', verdict, 'The target did not answer before the deadline.');
}

/** This process ends before the call does. */
export function processEndRefusal(verdict: Verdict): GateRefusal {
  return retryableRefusal('leaving', verdict, 'The process had to end before the target answered.');
}

/** The caller may come again soon. */
function retryableRefusal(reason: RefusalReason, verdict: Verdict, detail: string): GateRefusal {
  const refusal: Refusal = { reason, verdict, retryAfterSeconds: SOON_SECONDS, detail };
  return { refusal, isOverload: false };
}

/** Coming again does not help. */
function finalRefusal(reason: RefusalReason, verdict: Verdict, detail: string): GateRefusal {
  const refusal: Refusal = { reason, verdict, retryAfterSeconds: NO_RETRY_AFTER, detail };
  return { refusal, isOverload: false };
}

function overload({ refusal }: GateRefusal): GateRefusal {
  return { refusal, isOverload: true };
}
