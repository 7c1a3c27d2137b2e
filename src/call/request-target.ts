/**
 * Reads the path of a request line and the waiting time of its `Prefer` header. For the edge and for both sides of a node;
 * a sidecar matches the path as it came and reads the client's timeout from a header of its own. Owns nothing; pure.
 */
import { MS_PER_SECOND } from '../common/units.js';

/** Longest time that a caller can say it waits, in seconds; the deadline of its kind bounds it besides. */
const MAX_WAIT_SECONDS = 600;
const WAIT_PREFERENCE = /(?:^|[,;\s])wait\s*=\s*"?(\d{1,6})"?/i;

/**
 * The path of a request target in origin form, without its query (RFC 9112, section 3.2.1).
 * @returns undefined for any other form and for paths with empty or dot segments, which different
 *   servers resolve differently
 */
export function requestPath(url: string | undefined): string | undefined {
  if (url === undefined || !url.startsWith('/')) return undefined;
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  if (path.includes('//') || path.includes('/./') || path.includes('/../')) return undefined;
  if (path.endsWith('/.') || path.endsWith('/..')) return undefined;
  return path;
}

/**
 * How long a caller says it waits for an answer, in milliseconds: `Prefer: wait=SECONDS` (RFC 7240,
 * section 4.3).
 */
export function waitPreferenceMs(prefer: string | string[] | undefined): number | undefined {
  if (prefer === undefined) return undefined;
  const text = Array.isArray(prefer) ? prefer.join(',') : prefer;
  const seconds = WAIT_PREFERENCE.exec(text)?.[1];
  if (seconds === undefined) return undefined;
  return Math.min(MAX_WAIT_SECONDS, Number(seconds)) * MS_PER_SECOND;
}
