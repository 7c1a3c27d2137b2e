/** Parses requests to the resource API: the resource named by the path, and the precondition and change id in the headers. */
import { randomUUID } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { RESOURCE_KINDS, type ResourceKind } from '../policy/resource-schema.js';
import type { ResourceId } from '../policy/stored-resource.js';
import type { Precondition } from './commands.js';

const RESOURCE_PATH = /^\/v1\/resources\/([A-Za-z]+)\/([a-z0-9-]+)$/;
const ENTITY_TAG = /^"(\d+)"$/;
/** Maximum length of a change id in characters; ids are stored with their results. */
const MAX_CHANGE_ID_LENGTH = 128;

/** Parsed headers of a change, or the reason why they are invalid. */
export type ChangeHeaders =
  | { readonly type: 'read'; readonly changeId: string; readonly precondition: Precondition }
  | { readonly type: 'invalid'; readonly detail: string };

/** Parses the resource id from a path; undefined when the path names no resource. */
export function resourceIdFromPath(path: string): ResourceId | undefined {
  const match = RESOURCE_PATH.exec(path);
  const kind = match?.[1] as ResourceKind | undefined;
  const name = match?.[2];
  if (kind === undefined || name === undefined || !RESOURCE_KINDS.includes(kind)) return undefined;
  return { kind, name };
}

/** Parses `If-Match`, `If-None-Match` and `Idempotency-Key`; generates a change id when the request has none. */
export function readChangeHeaders(headers: IncomingHttpHeaders): ChangeHeaders {
  const precondition = readPrecondition(headers['if-match'], headers['if-none-match']);
  const changeId = headers['idempotency-key'] ?? randomUUID();
  if (precondition === undefined || typeof changeId !== 'string' || changeId === '') {
    const detail = 'If-Match takes one entity tag or *, If-None-Match takes *.';
    return { type: 'invalid', detail };
  }
  if (changeId.length > MAX_CHANGE_ID_LENGTH) {
    const detail = `Idempotency-Key takes at most ${MAX_CHANGE_ID_LENGTH} characters.`;
    return { type: 'invalid', detail };
  }
  return { type: 'read', changeId, precondition };
}

/** Parses the conditional headers; undefined when they are malformed. */
function readPrecondition(
  ifMatch: string | undefined,
  ifNoneMatch: string | undefined,
): Precondition | undefined {
  if (ifNoneMatch !== undefined) return ifNoneMatch === '*' ? 'absent' : undefined;
  if (ifMatch === undefined || ifMatch === '*') return 'any';
  const version = ENTITY_TAG.exec(ifMatch)?.[1];
  return version === undefined ? undefined : Number(version);
}
