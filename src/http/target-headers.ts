/**
 * Headers between a sidecar, its clients and its target. Their names can be configured. Also validates the head of a
 * target's answer; targets repeat the request id in it.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFault } from '../call/transport.js';
import { HttpStatus } from '../common/http-status.js';

/** Header names, in lower case. */
export interface TargetHeaders {
  /** Request id; targets repeat it in the answer. */
  readonly requestId: string;
  /** Time until the caller's deadline, in milliseconds. */
  readonly deadlineMs: string;
  /** Expected instance; any other instance rejects the request. */
  readonly expectedInstance: string;
  /** Service of the machine where the request originated. */
  readonly callingService: string;
  /** In answers: the request was rejected and did not run. */
  readonly notExecuted: string;
  /** In answers to health checks: id of the answering instance. */
  readonly instanceId: string;
  /** In answers: running requests, queued requests, slots and, from some targets, the duration of work; see target-load.ts. */
  readonly load: string;
  /** In answers: the requests a second that the target accepts from all callers together, as a decimal number. */
  readonly rateLimit: string;
  /** In answers: the target is shutting down and must get no more requests. */
  readonly leaving: string;
  /** API key of the caller; not forwarded to targets. */
  readonly apiKey: string;
  /** In requests to targets: name of the group that the caller's API key belongs to. */
  readonly group: string;
}

export const DEFAULT_TARGET_HEADERS: TargetHeaders = {
  requestId: 'x-request-id',
  deadlineMs: 'x-request-timeout-ms',
  expectedInstance: 'x-target-instance',
  callingService: 'x-caller-service',
  notExecuted: 'x-request-rejected',
  instanceId: 'x-answering-instance',
  load: 'x-load',
  rateLimit: 'x-rate-limit-per-second',
  leaving: 'x-target-leaving',
  apiKey: 'x-api-key',
  group: 'x-caller-group',
};

/** The only content encoding allowed in answers of a target. */
const IDENTITY_ENCODING = 'identity';

/** Returns the first value of a header. */
export function headerValue(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Returns why an answer is not the target's answer to the request with `requestId`, or undefined if it is. */
export function detectAnswerFault(
  names: TargetHeaders,
  requestId: string,
  status: number,
  headers: IncomingHttpHeaders,
): AnswerFault | undefined {
  const answeredRequestId = headerValue(headers, names.requestId);
  if (answeredRequestId !== undefined && answeredRequestId !== requestId) return 'foreign';
  if (status === HttpStatus.MisdirectedRequest) return 'misdirected';
  if (headerValue(headers, names.notExecuted) !== undefined) return 'not-executed';
  if (answeredRequestId === undefined) return 'foreign';
  const encoding = headerValue(headers, 'content-encoding');
  return encoding === undefined || encoding === IDENTITY_ENCODING ? undefined : 'foreign';
}

/** Whether the head of an answer determines where its body ends (RFC 9112, section 6.3). */
export function isFramed(status: number, headers: IncomingHttpHeaders): boolean {
  const hasNoBody = status === 204 || status === 304;
  return (
    hasNoBody ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Parses the remaining time of a client's deadline, in milliseconds; undefined if missing or malformed. */
export function parseDeadlineMs(
  names: TargetHeaders,
  headers: IncomingHttpHeaders,
): number | undefined {
  const text = headerValue(headers, names.deadlineMs);
  if (text === undefined || !/^\d{1,9}(?:\.\d+)?$/.test(text)) return undefined;
  return Number(text);
}
