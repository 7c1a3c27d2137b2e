/** The outcome of an HTTP exchange as seen by the client. */
import type { Dispatcher } from 'undici';
import { readAnnouncement, type TargetAnnouncement } from '../../src/http/target-announcement.js';
import { DEFAULT_TARGET_HEADERS, headerValue } from '../../src/http/target-headers.js';

export interface ExchangeResult {
  /** Status of the response; 0 if the response was not received completely. */
  readonly status: number;
  readonly body: string;
  /** Whether the client's own timeout ended the exchange. */
  readonly hasTimedOut: boolean;
  /** Whether the connection ended before the client had sent the whole request. Default false. */
  readonly isIncomplete?: boolean;
  /** Id of the instance that answered; undefined if none did. */
  readonly instance?: string | undefined;
  /** What the target announces in the response; undefined if the response was not received completely. */
  readonly announcement?: TargetAnnouncement;
}

/** Reads a response completely. @throws when the connection fails or the client's timeout expires */
export async function readResponse(response: Dispatcher.ResponseData): Promise<ExchangeResult> {
  const announcement = readAnnouncement(DEFAULT_TARGET_HEADERS, response.headers);
  const body = await response.body.text();
  const instance = headerValue(response.headers, DEFAULT_TARGET_HEADERS.instanceId);
  return { status: response.statusCode, body, hasTimedOut: false, instance, announcement };
}

/** Result of an exchange that failed: connection refused or reset, or timeout. */
export function failedExchange(error: unknown): ExchangeResult {
  const hasTimedOut = error instanceof DOMException && error.name === 'TimeoutError';
  return { status: 0, body: '', hasTimedOut };
}
