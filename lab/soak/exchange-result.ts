/** The outcome of an HTTP exchange as seen by the client. */
import type { Dispatcher } from 'undici';

export interface ExchangeResult {
  /** Status of the response; 0 if the response was not received completely. */
  readonly status: number;
  readonly body: string;
  /** Whether the client's own timeout ended the exchange. */
  readonly hasTimedOut: boolean;
}

/** Reads a response completely. @throws when the connection fails or the client's timeout expires */
export async function readResponse(response: Dispatcher.ResponseData): Promise<ExchangeResult> {
  return { status: response.statusCode, body: await response.body.text(), hasTimedOut: false };
}

/** Result of an exchange that failed: connection refused or reset, or timeout. */
export function failedExchange(error: unknown): ExchangeResult {
  const hasTimedOut = error instanceof DOMException && error.name === 'TimeoutError';
  return { status: 0, body: '', hasTimedOut };
}
