/**
 * Problem Details (RFC 9457) of control's APIs and of a sidecar's registration API.
 *
 * For: every handler of these APIs. Owns: the types of problems and their HTTP status. Relies on: `api-response.ts` to
 * write them. Refusals of calls are another matter: `src/call/refusal.ts`.
 */
import type { Fault } from '../common/errors.js';
import type { Verdict } from '../common/verdict.js';
import type { StoredResource } from '../policy/stored-resource.js';

/** Every problem type of the API; the `type` member is `urn:shoredoor:api:` and one of these. */
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

/** A problem to answer with. */
export interface ApiProblem {
  readonly type: ApiProblemType;
  readonly status: number;
  readonly detail: string;
  /** Whether the change may have taken effect. */
  readonly verdict: Verdict;
  /** Every fault, for `invalid`. */
  readonly faults?: readonly Fault[];
  /** The resource as it stands, for `conflict`. */
  readonly current?: StoredResource | null;
  /** Oldest revision that a watch can resume from, for `gone`. */
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

/** Further members of a problem. */
export type ApiProblemMembers = Partial<Omit<ApiProblem, 'type' | 'status' | 'detail'>>;

/** Makes a problem; the verdict is `not-run` unless given. */
export function apiProblem(
  type: ApiProblemType,
  detail: string,
  members: ApiProblemMembers = {},
): ApiProblem {
  return { type, status: STATUS_BY_TYPE[type], detail, verdict: 'not-run', ...members };
}
