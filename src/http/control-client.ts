/**
 * Sends internal messages to control replicas over HTTP.
 *
 * For: followers and replicas. Owns: the connections to the replicas. Relies on: whoever sends to set the time limit and
 * to log a failure, which is part of the result.
 */
import { Agent } from 'undici';
import { decodeMessage } from '../common/message-codec.js';
import { postMessage } from './link-messages.js';
import { HttpStatus } from '../common/http-status.js';

/**
 * Longest time to make a connection, in milliseconds. A lost opening packet is sent again after 1, 3 and 7 seconds only, so
 * waiting for it would cost a replica that is back up to as long as it was gone.
 */
const CONNECT_TIMEOUT_MS = 500;

/** Why a message got no answer. */
export enum ExchangeFailure {
  /** The caller ended the exchange. */
  Aborted = 'aborted',
  /** No whole answer came in time. */
  TimedOut = 'timed out',
  /** The replica answered that it can't. */
  Refused = 'refused',
  /** No connection could be made, or it broke. */
  Unreachable = 'unreachable',
  /** The answer can't be decoded. */
  Unreadable = 'unreadable',
}

/** How one exchange with a control replica ended. */
export type Exchange<Answer> =
  | { readonly type: 'answered'; readonly answer: Answer }
  | { readonly type: 'failed'; readonly failure: ExchangeFailure; readonly detail: string };

/** How far an exchange has come. */
export interface ExchangeProgress {
  /** Bytes of the answer that have arrived. */
  receivedBytes: number;
}

/** What an exchange may bring besides its message. */
export interface ExchangeOptions {
  /** Longest time for the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
  /** Ends the exchange early. */
  readonly abort?: AbortSignal;
  /** Kept up to date while the answer arrives. */
  readonly progress?: ExchangeProgress;
}

/** Sends messages to control replicas. */
export interface ControlLink {
  send<Answer>(
    origin: string,
    path: string,
    message: unknown,
    options: ExchangeOptions,
  ): Promise<Exchange<Answer>>;
}

export class ControlClient implements ControlLink {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  constructor(private readonly linkToken: string) {}

  /** Sends a message and decodes the answer. Never throws: a failure is part of the result. */
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
