/**
 * Checks that a gate runs, in this order, before it starts a call. Pure.
 *
 * 1. Target: without one the reason `leaving` keeps callers away from this endpoint until its next
 *    incarnation.
 * 2. Service: the target may have been replaced by one of another service since the caller picked
 *    the endpoint.
 * 3. Quarantine: last, since it needs a lookup.
 */
import { CrashNote } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';

/** Input of the checks. */
interface Arrival {
  /** Service that the caller requested. */
  readonly service: string | undefined;
  /** Service of the current target; undefined while there is none. */
  readonly presentService: string | undefined;
  /** Whether the request is in quarantine. */
  readonly isQuarantined: () => boolean;
}

/** Why the call is not started. */
export interface ArrivalRefusal {
  readonly reason: RefusalReason;
  readonly detail: string;
  /** Crash information to report to the caller. */
  readonly crashNote: CrashNote | undefined;
}

/** @returns undefined if the call may start */
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
