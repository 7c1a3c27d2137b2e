/**
 * Parses the path of a request target and the `wait` preference of the `Prefer` header, for edges and nodes. Sidecars do not
 * use it: they match the path unchanged and take the timeout of the client from another header.
 */
import { MS_PER_SECOND } from '../common/units.js';

/** Maximum `wait` preference, in seconds. The deadline of the kind applies as well. */
const MAX_WAIT_SECONDS = 600;
const WAIT_PREFERENCE = /(?:^|[,;\s])wait\s*=\s*"?(\d{1,6})"?/i;

/**
 * Returns the path of a request target in origin form, without the query (RFC 9112, section 3.2.1).
 * @returns undefined for other forms, and for paths with empty or dot segments, which servers resolve in different ways
 */
export function requestPath(url: string | undefined): string | undefined {
  if (url === undefined || !url.startsWith('/')) return undefined;
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  if (path.includes('//') || path.includes('/./') || path.includes('/../')) return undefined;
  if (path.endsWith('/.') || path.endsWith('/..')) return undefined;
  return path;
}

/** Returns the value of `Prefer: wait=SECONDS` (RFC 7240, section 4.3) in milliseconds. */
export function waitPreferenceMs(prefer: string | string[] | undefined): number | undefined {
  if (prefer === undefined) return undefined;
  const text = Array.isArray(prefer) ? prefer.join(',') : prefer;
  const seconds = WAIT_PREFERENCE.exec(text)?.[1];
  if (seconds === undefined) return undefined;
  return Math.min(MAX_WAIT_SECONDS, Number(seconds)) * MS_PER_SECOND;
}
