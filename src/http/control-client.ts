/** HTTP client for internal messages to control replicas, used by followers and by other replicas. */
import { Agent } from 'undici';
import { decodeMessage } from '../common/message-codec.js';
import { postMessage } from './link-messages.js';
import { HttpStatus } from '../common/http-status.js';

/**
 * Timeout for opening a connection, in milliseconds. TCP retransmits a lost SYN with exponential backoff from one second on,
 * so a longer timeout would delay the connection to a replica that is reachable again.
 */
const CONNECT_TIMEOUT_MS = 500;

/** Why a message received no usable answer. */
export enum ExchangeFailure {
  /** The caller aborted the exchange. */
  Aborted = 'aborted',
  /** The answer was not complete within the timeout. */
  TimedOut = 'timed out',
  /** The replica answered with a status other than 200. */
  Refused = 'refused',
  /** The connection could not be opened, or it failed. */
  Unreachable = 'unreachable',
  /** The answer could not be decoded. */
  Unreadable = 'unreadable',
}

/** Result of one exchange with a control replica. */
export type Exchange<Answer> =
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'failed'; readonly failure: ExchangeFailure; readonly detail: string };

/** Progress of an exchange. */
export interface ExchangeProgress {
  /** Bytes of the answer received so far. */
  receivedBytes: number;
}

export interface ExchangeOptions {
  /** Timeout for the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
  /** Aborts the exchange. */
  readonly abort?: AbortSignal;
  /** Updated while the answer arrives. */
  readonly progress?: ExchangeProgress;
}

export interface ControlTransport {
  send<Answer>(
    origin: string,
    path: string,
    message: unknown,
    options: ExchangeOptions,
  ): Promise<Exchange<Answer>>;
}

export class ControlClient implements ControlTransport {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  constructor(private readonly linkToken: string) {}

  /** Sends a message and decodes the answer. Never rejects; failures are part of the result. */
  async send<Answer>(
    origin: string,
    path: string,
    message: unknown,
    { timeoutMs, abort, progress }: ExchangeOptions,
  ): Promise<Exchange<Answer>> {
    const timeout = AbortSignal.timeout(timeoutMs);
    try {
      const { status, bytes } = await postMessage(origin + path, message, {
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${this.linkToken}` },
        signal: abort === undefined ? timeout : AbortSignal.any([timeout, abort]),
        onReceived: (count) => {
          if (progress !== undefined) progress.receivedBytes += count;
        },
      });
      if (status !== HttpStatus.Ok) return failed(ExchangeFailure.Refused, `status ${status}`);
      return { type: 'answered', answer: decodeMessage<Answer>(bytes) };
    } catch (error) {
      if (abort?.aborted === true) return failed(ExchangeFailure.Aborted, 'ended by the caller');
      if (timeout.aborted) return failed(ExchangeFailure.TimedOut, `no answer in ${timeoutMs} ms`);
      return failed(ExchangeFailure.Unreachable, String(error));
    }
  }
}

function failed(failure: ExchangeFailure, detail: string): Exchange<never> {
  return { type: 'failed', failure, detail };
}
