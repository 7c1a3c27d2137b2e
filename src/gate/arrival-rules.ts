/**
 * The rules that a gate asks before a call counts for anything, in their order. Pure.
 *
 * 1. A target: without one nothing can be asked, and callers are to leave this endpoint alone until its next
 *    incarnation.
 * 2. The service that was meant: the target may have been replaced by one of another service since the caller chose.
 * 3. Quarantine, last, since it costs a look-up: targets crash under the request.
 */
import { CrashNote } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';

/** What the rules are asked on. */
interface Arrival {
  /** Service that the caller meant. */
  readonly service: string | undefined;
  /** Service of the present target; undefined while there is none. */
  readonly presentService: string | undefined;
  /** Whether the request is kept from targets. */
  readonly isQuarantined: () => boolean;
}

/** Why the call is not begun. */
export interface ArrivalRefusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** What the callers of other targets are to know. */
  readonly crashNote: CrashNote | undefined;
}

/** @returns undefined where the call may begin */
export function checkArrival(arrival: Arrival): ArrivalRefusal | undefined {
  const { service, presentService, isQuarantined } = arrival;
  if (presentService === undefined) {
    const detail = 'There is no target now.';
    return { reason: 'leaving', detail, crashNote: undefined };
  }
  if (service !== presentService) {
    const detail = 'The target is of another service.';
    return { reason: 'unavailable', detail, crashNote: undefined };
  }
  if (isQuarantined()) {
    const detail = 'Targets crash under the request.';
    return { reason: 'unavailable', detail, crashNote: CrashNote.Quarantined };
  }
  return undefined;
}
