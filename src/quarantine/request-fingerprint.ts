/**
 * The identity of a request that comes again: its service, method, host, path with query, the service that calls, and its
 * body. Request ids and other headers differ each time and are left out.
 *
 * A body that is streamed counts with its first part and its declared length, since a target begins its work before the
 * rest has arrived.
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

/** Hexadecimal digits of a fingerprint: 80 bits, so that no request can be made to look like a given other one. */
const FINGERPRINT_DIGITS = 20;
/** No part of a request's head can contain it (RFC 9112, section 2.2). */
const SEPARATOR = '\n';

/** The fingerprint of a request: the same for each time that it comes, in every process. */
export function fingerprintOf(identity: RequestIdentity): string {
  const { service, callingService, method, host, path, streamedLength, bodyStart } = identity;
  const head = [service, callingService, method, host, path, streamedLength ?? '', ''].join(
    SEPARATOR,
  );
  const bytes = bodyStart === null ? head : Buffer.concat([Buffer.from(head), bodyStart]);
  return hash('sha256', bytes, 'hex').slice(0, FINGERPRINT_DIGITS);
}
