/** Writes refusals of calls and aborts answers, for edges, nodes and the ingress of a sidecar. */
import type { ServerResponse } from 'node:http';
import { refusalStatus, toProblemDetails, type Refusal } from '../call/refusal.js';
import { REQUEST_ID_HEADER, VERDICT_HEADER } from '../call/call-context.js';
import type { RawHeaders } from './header-filter.js';

const PROBLEM_TYPE = 'application/problem+json';

/**
 * Writes a refusal as Problem Details (RFC 9457), with `Retry-After` if the refusal has one. If a response has begun, aborts
 * it instead, so that the caller does not treat it as complete.
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
  extraHeaders: RawHeaders = [],
): void {
  if (response.headersSent || response.destroyed) {
    abortResponse(response);
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

/**
 * Closes the connection of a response, so that its receiver does not treat it as complete. Without a length or chunks, the
 * end of the connection is also the end of an answer (RFC 9112, section 6.3), and only a reset tells the two apart.
 */
export function abortResponse(response: ServerResponse): void {
  // Node.js corks the socket until the end of the turn; destroying it would discard what was written in this turn.
  response.socket?.uncork();
  if (response.req.httpVersionMajor === 1 && response.req.httpVersionMinor === 0) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}
