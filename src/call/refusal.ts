/**
 * Refusals: answers that shoredoor generates itself instead of forwarding one from a target. They are plain values, not
 * thrown errors, because refusing is the hottest path under overload. The reasons also appear in log lines, in metrics and
 * in the outcome header.
 */
import { HttpStatus } from '../common/http-status.js';
import type { Verdict } from '../common/verdict.js';

/** Why a call was refused. */
export type RefusalReason =
  | 'overload'
  | 'retry-budget'
  | 'deadline'
  | 'leaving'
  | 'unavailable'
  | 'unreachable'
  | 'broken-answer'
  | 'duplicate'
  | 'duplicate-unknown'
  | 'unknown-kind'
  | 'unknown-group'
  | 'unknown-service'
  | 'bad-request'
  | 'too-large'
  | 'request-timeout'
  | 'not-ready'
  /** The local configuration may be outdated, so an API key may have been revoked. */
  | 'stale-configuration'
  /** The group has reached its rate limit. */
  | 'rate-limited'
  /** The target, or each target of the service, has reached the rate limit that it announces. */
  | 'target-rate-limit'
  /** The target is slowed down; only for calls whose callers have another target. */
  | 'target-slowed'
  /** The request is in quarantine because targets crash when they run it. */
  | 'quarantined';

/** A final answer that shoredoor generates itself. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly verdict: Verdict;
  /** Delay before the next attempt, in seconds (see `retry-after.ts`); 0 if a retry would not help. */
  readonly retryAfterSeconds: number;
  /** Human-readable explanation, one sentence. */
  readonly detail: string;
}

interface ReasonProperties {
  readonly status: number;
  readonly title: string;
}

const REASONS: Record<RefusalReason, ReasonProperties> = {
  overload: { status: HttpStatus.ServiceUnavailable, title: 'Overloaded' },
  'retry-budget': { status: HttpStatus.ServiceUnavailable, title: 'Too many retries' },
  deadline: { status: HttpStatus.GatewayTimeout, title: 'Deadline exceeded' },
  leaving: { status: HttpStatus.ServiceUnavailable, title: 'Leaving' },
  unavailable: { status: HttpStatus.ServiceUnavailable, title: 'No target available' },
  unreachable: { status: HttpStatus.BadGateway, title: 'Target unreachable' },
  'broken-answer': { status: HttpStatus.BadGateway, title: 'Answer broke off' },
  duplicate: { status: HttpStatus.Conflict, title: 'Request already accepted' },
  'duplicate-unknown': {
    status: HttpStatus.ServiceUnavailable,
    title: 'Earlier requests not known',
  },
  'unknown-kind': { status: HttpStatus.NotFound, title: 'Unknown kind of request' },
  'unknown-group': { status: HttpStatus.Unauthorized, title: 'Unknown caller' },
  'unknown-service': { status: HttpStatus.NotFound, title: 'Unknown service' },
  'bad-request': { status: HttpStatus.BadRequest, title: 'Bad request' },
  'too-large': { status: HttpStatus.ContentTooLarge, title: 'Request body too large' },
  'request-timeout': { status: HttpStatus.RequestTimeout, title: 'Request body too slow' },
  'not-ready': { status: HttpStatus.ServiceUnavailable, title: 'Not ready' },
  'stale-configuration': {
    status: HttpStatus.ServiceUnavailable,
    title: 'Configuration may be old',
  },
  'rate-limited': { status: HttpStatus.TooManyRequests, title: 'Rate limit of the group reached' },
  'target-rate-limit': {
    status: HttpStatus.ServiceUnavailable,
    title: 'Rate limit of the target reached',
  },
  'target-slowed': { status: HttpStatus.ServiceUnavailable, title: 'Target slowed down' },
  quarantined: { status: HttpStatus.ServiceUnavailable, title: 'Request kept from targets' },
};

/** Statuses that imply that the request was not run (RFC 9110, section 15.6.4). */
const NOT_RUN_STATUSES: readonly number[] = [
  HttpStatus.RequestTimeout,
  HttpStatus.ServiceUnavailable,
];
const MAY_HAVE_RUN_STATUSES: readonly number[] = [HttpStatus.BadGateway, HttpStatus.GatewayTimeout];

/**
 * Returns the HTTP status of a refusal. Clients that only look at the status may retry after a 503, so it is used only if
 * the request was not run, and then replaces 502 and 504.
 */
export function refusalStatus({ reason, verdict }: Pick<Refusal, 'reason' | 'verdict'>): number {
  const { status } = REASONS[reason];
  if (verdict === 'not-run')
    return MAY_HAVE_RUN_STATUSES.includes(status) ? HttpStatus.ServiceUnavailable : status;
  return NOT_RUN_STATUSES.includes(status) ? HttpStatus.BadGateway : status;
}

/** Whether `text` is a refusal reason. */
export function isRefusalReason(text: string | undefined): text is RefusalReason {
  return text !== undefined && Object.hasOwn(REASONS, text);
}

/** The Problem Details object (RFC 9457) of a refusal, with the verdict as a member. */
export interface ProblemDetails {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly verdict: Verdict;
  readonly requestId: string;
}

/** Builds the Problem Details object of a refusal. */
export function toProblemDetails(refusal: Refusal, requestId: string): ProblemDetails {
  const { title } = REASONS[refusal.reason];
  const status = refusalStatus(refusal);
  return {
    type: `urn:shoredoor:problem:${refusal.reason}`,
    title,
    status,
    detail: refusal.detail,
    verdict: refusal.verdict,
    requestId,
  };
}
