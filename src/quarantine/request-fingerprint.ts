/**
 * The identity of a request that comes again: its service, method, host, path with query and body, and the service that
 * calls. Request ids and other headers differ each time and are left out.
 *
 * A fingerprint has two parts, the second of which is the caller's: whether a request is dangerous whoever sends it, or only
 * from one caller, is for the evidence to tell. With the caller as part of one hash, a request that came by the machines of
 * four services crashed 13 targets before each of the four was known.
 *
 * A body that is streamed counts with its first part and its declared length, since a target begins its work before the
 * rest has arrived.
 *
 * Computed at the ingress and sent along; every process gives a request the same fingerprint. Relies on nothing.
 */
import { hash } from 'node:crypto';

/** What makes two requests the same one. */
export interface RequestIdentity {
  readonly service: string;
  readonly callingService: string;
  readonly method: string;
  readonly host: string;
  /** With its query. */
  readonly path: string;
  /** Declared length of a body that is streamed; undefined where the body is whole or has no length. */
  readonly streamedLength: string | undefined;
  /** The whole body, or the first part of one that is streamed. */
  readonly bodyStart: Buffer | null;
}

/** Hexadecimal digits of what is asked: 80 bits, so that no request can be made to look like a given other one. */
const REQUEST_DIGITS = 20;
/** Of the caller: a deployment has some hundred services, so 32 bits tell them apart. */
const CALLER_DIGITS = 8;
const CALLER_MARK = '-';
/** No part of a request's head can contain it (RFC 9112, section 2.2). */
const SEPARATOR = '\n';

/** The fingerprint of a request: the same for each time that it comes, in every process. */
export function fingerprintOf(identity: RequestIdentity): string {
  const { service, callingService, method, host, path, streamedLength, bodyStart } = identity;
  const head = [service, method, host, path, streamedLength ?? '', ''].join(SEPARATOR);
  const bytes = bodyStart === null ? head : Buffer.concat([Buffer.from(head), bodyStart]);
  const request = hash('sha256', bytes, 'hex').slice(0, REQUEST_DIGITS);
  return request + CALLER_MARK + callerPart(callingService);
}

/** The part of a fingerprint that is the same whoever calls. */
export function withoutCaller(fingerprint: string): string {
  return fingerprint.slice(0, REQUEST_DIGITS);
}

/** Whether a fingerprint names the caller, too. */
export function hasCaller(fingerprint: string): boolean {
  return fingerprint.length > REQUEST_DIGITS;
}

const callerParts = new Map<string, string>();

/** A process sends for one service, and now and then for another one. */
function callerPart(callingService: string): string {
  const known = callerParts.get(callingService);
  if (known !== undefined) return known;
  const part = hash('sha256', callingService, 'hex').slice(0, CALLER_DIGITS);
  callerParts.set(callingService, part);
  return part;
}
