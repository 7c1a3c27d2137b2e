/**
 * Answers that shoredoor gives itself instead of a back end. Typed results, not errors: a refusal
 * is the hottest path under overload.
 */
import type { Verdict } from '../common/verdict.js';

/** Why shoredoor answered itself. */
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
  /** It is not known whether the configuration here is the newest: a key may have been taken away. */
  | 'stale-configuration'
  /** The group has had the requests that it may make. */
  | 'rate-limited'
  /** Targets crash under the request. */
  | 'quarantined';

/** A final answer by shoredoor itself. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly verdict: Verdict;
  /** Seconds until trying again makes sense, from `retry-after.ts`; 0 where trying again does not help. */
  readonly retryAfterSeconds: number;
  /** One sentence for people. */
  readonly detail: string;
}

interface ReasonProperties {
  readonly status: number;
  readonly title: string;
}

const REASONS: Record<RefusalReason, ReasonProperties> = {
  overload: { status: 503, title: 'Overloaded' },
  'retry-budget': { status: 503, title: 'Too many retries' },
  deadline: { status: 504, title: 'Deadline exceeded' },
  leaving: { status: 503, title: 'Leaving' },
  unavailable: { status: 503, title: 'No target available' },
  unreachable: { status: 502, title: 'Target unreachable' },
  'broken-answer': { status: 502, title: 'Answer broke off' },
  duplicate: { status: 409, title: 'Request already accepted' },
  'duplicate-unknown': { status: 503, title: 'Earlier requests not known' },
  'unknown-kind': { status: 404, title: 'Unknown kind of request' },
  'unknown-group': { status: 401, title: 'Unknown caller' },
  'unknown-service': { status: 404, title: 'Unknown service' },
  'bad-request': { status: 400, title: 'Bad request' },
  'too-large': { status: 413, title: 'Request body too large' },
  'request-timeout': { status: 408, title: 'Request body too slow' },
  'not-ready': { status: 503, title: 'Not ready' },
  'stale-configuration': { status: 503, title: 'Configuration may be old' },
  'rate-limited': { status: 429, title: 'Rate limit of the group reached' },
  quarantined: { status: 503, title: 'Request kept from targets' },
};

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
/** Statuses that say by themselves that the request was not run (RFC 9110, section 15.6.4). */
const NOT_RUN_STATUSES: readonly number[] = [408, STATUS_UNAVAILABLE];
const UNKNOWN_STATUSES: readonly number[] = [STATUS_BAD_GATEWAY, 504];

/**
 * HTTP status of a refusal. Callers that read nothing but the status may send a request again after
 * 503: it is given only where the request was not run, and then in place of 502 and 504.
 */
export function refusalStatus({ reason, verdict }: Pick<Refusal, 'reason' | 'verdict'>): number {
  const { status } = REASONS[reason];
  if (verdict === 'not-run') return UNKNOWN_STATUSES.includes(status) ? STATUS_UNAVAILABLE : status;
  return NOT_RUN_STATUSES.includes(status) ? STATUS_BAD_GATEWAY : status;
}

/** Whether `text` names a refusal reason. */
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
