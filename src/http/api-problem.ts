/**
 * Problem Details (RFC 9457) of control's APIs and of a sidecar's registration API. For refusals of calls, see
 * `src/call/refusal.ts`.
 */
import type { Fault } from '../common/errors.js';
import type { Verdict } from '../common/verdict.js';
import type { StoredResource } from '../policy/stored-resource.js';

/** Problem types of the API. On the wire, `type` is `urn:shoredoor:api:` followed by one of these. */
export type ApiProblemType =
  | 'unauthenticated'
  | 'forbidden'
  | 'not-found'
  | 'method-not-allowed'
  | 'invalid'
  | 'conflict'
  | 'precondition-failed'
  | 'change-id-reused'
  | 'gone'
  | 'no-quorum'
  | 'storage-failed'
  | 'too-large';

export interface ApiProblem {
  readonly type: ApiProblemType;
  readonly status: number;
  readonly detail: string;
  /** Whether the change may have taken effect. */
  readonly verdict: Verdict;
  /** Validation faults, for `invalid`. */
  readonly faults?: readonly Fault[];
  /** The resource as currently stored, for `conflict`. */
  readonly current?: StoredResource | null;
  /** Oldest revision from which a watch can resume, for `gone`. */
  readonly oldestRevision?: number;
}

const STATUS_BY_TYPE: Record<ApiProblemType, number> = {
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  'method-not-allowed': 405,
  invalid: 422,
  conflict: 409,
  'precondition-failed': 412,
  'change-id-reused': 422,
  gone: 410,
  'no-quorum': 503,
  'storage-failed': 507,
  'too-large': 413,
};

/** Optional members of a problem. */
export type ApiProblemMembers = Partial<Omit<ApiProblem, 'type' | 'status' | 'detail'>>;

/** Creates a problem with the HTTP status of its type. The verdict defaults to `not-run`. */
export function apiProblem(
  type: ApiProblemType,
  detail: string,
  members: ApiProblemMembers = {},
): ApiProblem {
  return { type, status: STATUS_BY_TYPE[type], detail, verdict: 'not-run', ...members };
}
