/** Writes refusals of calls, for edges, nodes and the ingress of a sidecar. */
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
