/**
 * Fingerprints identify a request that is sent repeatedly. The first part is a hash of the service, method, host, path with
 * query, and body; request ids and other headers differ each time and are left out. The second part is a hash of the
 * calling service, so that a request can be recognized from one caller or from all of them. With the caller as part of one
 * hash, a request that comes through several services would have to crash targets under each of them before it is blamed.
 *
 * Of a streamed body, only the beginning and the declared length are hashed, because a target may begin to work before the
 * rest has arrived.
 */
import { hash } from 'node:crypto';

/** The properties of a request that are hashed. */
export interface RequestIdentity {
  readonly service: string;
  readonly callingService: string;
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  /** Declared length of a streamed body; undefined if the body is complete or has no declared length. */
  readonly streamedLength: string | undefined;
  /** The whole body, or the beginning of a streamed one. */
  readonly bodyStart: Buffer | null;
}

/** Hexadecimal digits of the request's hash: 80 bits, so that a request with a given fingerprint can't be constructed. */
const REQUEST_DIGITS = 20;
/** Hexadecimal digits of the caller's hash: 32 bits, enough to distinguish a few hundred services. */
const CALLER_DIGITS = 8;
const CALLER_MARK = '-';
/** Cannot occur in the head of a request (RFC 9112, section 2.2). */
const SEPARATOR = '\n';

/** Returns the fingerprint of a request, which is the same in every process. */
export function fingerprintOf(identity: RequestIdentity): string {
  const { service, callingService, method, host, path, streamedLength, bodyStart } = identity;
  const head = [service, method, host, path, streamedLength ?? '', ''].join(SEPARATOR);
  const bytes = bodyStart === null ? head : Buffer.concat([Buffer.from(head), bodyStart]);
  const request = hash('sha256', bytes, 'hex').slice(0, REQUEST_DIGITS);
  return request + CALLER_MARK + callerPart(callingService);
}

/** Returns the part of a fingerprint that doesn't depend on the caller. */
export function withoutCaller(fingerprint: string): string {
  return fingerprint.slice(0, REQUEST_DIGITS);
}

/** Whether a fingerprint includes the caller. */
export function hasCaller(fingerprint: string): boolean {
  return fingerprint.length > REQUEST_DIGITS;
}

const callerParts = new Map<string, string>();

/** Cached, as a process sends requests for few services. */
function callerPart(callingService: string): string {
  const known = callerParts.get(callingService);
  if (known !== undefined) return known;
  const part = hash('sha256', callingService, 'hex').slice(0, CALLER_DIGITS);
  callerParts.set(callingService, part);
  return part;
}
