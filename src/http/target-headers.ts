/**
 * The headers between a sidecar, its clients and its target. Every deployment may have names of its own for them.
 *
 * For: the ingress, the gate and the probe of a target. Owns: the default names, and how an answer's head is judged.
 * Relies on: targets that repeat the request's id in their answers. Pure.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFault } from '../call/transport.js';
import { HttpStatus } from '../common/http-status.js';

/** Header names, in lower case. */
export interface TargetHeaders {
  /** Names a request; targets repeat it in the answer. */
  readonly requestId: string;
  /** Milliseconds until an answer is of no use. */
  readonly deadlineMs: string;
  /** Instance that is meant; another one turns the request away. */
  readonly expectedInstance: string;
  /** Service of the machine on which the request began. */
  readonly callingService: string;
  /** In answers: the request was turned away and did not run. */
  readonly notExecuted: string;
  /** In answers to health checks: the instance that answered. */
  readonly instanceId: string;
  /** In answers: requests running, requests waiting, and slots, with commas between them. */
  readonly load: string;
  /** API key of the caller; targets do not get it. */
  readonly apiKey: string;
  /** To targets: name of the group whose key the caller presented. */
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
  apiKey: 'x-api-key',
  group: 'x-caller-group',
};

/** The one content encoding of an answer that passes for the target's own. */
const IDENTITY_ENCODING = 'identity';

/** One value of a header; the first where it stands several times. */
export function headerValue(headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Whether an answer is the target's answer to the request with `requestId`, and if not, why. */
export function answerFault(
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

/** Whether the end of an answer can be told from its head (RFC 9112, section 6.3). */
export function isFramed(status: number, headers: IncomingHttpHeaders): boolean {
  const hasNoBody = status === 204 || status === 304;
  return (
    hasNoBody ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** The time that a client says it waits, in milliseconds; undefined when it says none. */
export function deadlineOf(names: TargetHeaders, headers: IncomingHttpHeaders): number | undefined {
  const text = headerValue(headers, names.deadlineMs);
  if (text === undefined || !/^\d{1,9}(?:\.\d+)?$/.test(text)) return undefined;
  return Number(text);
}
