/**
 * Writes a refusal to a caller, unless an answer has begun.
 *
 * For: edges, nodes and the ingress of a sidecar. Owns: the headers of a refusal. Relies on:
 * `src/call/refusal.ts` for status and text, and on whoever refuses for `Retry-After`.
 */
import type { ServerResponse } from 'node:http';
import { refusalStatus, toProblemDetails, type Refusal } from '../call/refusal.js';
import { REQUEST_ID_HEADER, VERDICT_HEADER } from '../call/call-context.js';
import type { RawHeaders } from './header-filter.js';

const PROBLEM_TYPE = 'application/problem+json';

/**
 * Writes a refusal as Problem Details (RFC 9457) with `Retry-After` where that helps. Where an answer has begun, the
 * connection is ended instead, so that its receiver does not take the part for the whole.
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  extraHeaders: RawHeaders = [],
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const body = JSON.stringify(toProblemDetails(refusal, requestId));
  const headers: RawHeaders = [
    'Content-Type',
    PROBLEM_TYPE,
    'Content-Length',
    String(Buffer.byteLength(body)),
    VERDICT_HEADER,
    refusal.verdict,
    REQUEST_ID_HEADER,
    requestId,
  ];
  if (refusal.retryAfterSeconds > 0) {
    headers.push('Retry-After', String(refusal.retryAfterSeconds));
  }
  headers.push(...extraHeaders);
  response.writeHead(refusalStatus(refusal), headers);
  response.end(body);
}
