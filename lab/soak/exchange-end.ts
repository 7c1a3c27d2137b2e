/** How an exchange ended for the side that sent the request. */
import type { Dispatcher } from 'undici';

/** What the sender got. */
export interface ExchangeResult {
  /** Status of the answer; 0 where the connection ended without a whole answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the sender did not wait any longer. */
  readonly hasTimedOut: boolean;
}

/** Reads an answer to its end. @throws where it breaks off, or the sender gives up */
export async function readResponse(response: Dispatcher.ResponseData): Promise<ExchangeResult> {
  return { status: response.statusCode, body: await response.body.text(), hasTimedOut: false };
}

/** Refused, reset or too late: the sender has no whole answer. */
export function failedExchange(error: unknown): ExchangeResult {
  const hasTimedOut = error instanceof DOMException && error.name === 'TimeoutError';
  return { status: 0, body: '', hasTimedOut };
}
