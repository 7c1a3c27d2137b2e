/** Sends internal messages to control replicas over HTTP. */
import { Agent, request } from 'undici';
import { decodeMessage, encodeMessage, MSGPACK_TYPE } from '../common/message-codec.js';

const STATUS_OK = 200;
/**
 * Longest time to make a connection. A lost opening packet is sent again after 1, 3 and 7 seconds only, so
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
      const response = await request(origin + path, {
        dispatcher: this.agent,
        method: 'POST',
        headers: { authorization: `Bearer ${this.linkToken}`, 'content-type': MSGPACK_TYPE },
        body: encodeMessage(message),
        signal: abort === undefined ? timeout : AbortSignal.any([timeout, abort]),
      });
      const bytes = await receive(response.body, progress);
      if (response.statusCode !== STATUS_OK) {
        return failed(ExchangeFailure.Refused, `status ${response.statusCode}`);
      }
      return { type: 'answered', answer: decodeMessage<Answer>(bytes) };
    } catch (error) {
      if (abort?.aborted === true) return failed(ExchangeFailure.Aborted, 'ended by the caller');
      if (timeout.aborted) return failed(ExchangeFailure.TimedOut, `no answer in ${timeoutMs} ms`);
      return failed(ExchangeFailure.Unreachable, String(error));
    }
  }
}

/** Reads a whole body. */
async function receive(
  body: AsyncIterable<Buffer>,
  progress: ExchangeProgress | undefined,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    chunks.push(chunk);
    if (progress !== undefined) progress.receivedBytes += chunk.length;
  }
  return Buffer.concat(chunks);
}

function failed(failure: ExchangeFailure, detail: string): Exchange<never> {
  return { type: 'failed', failure, detail };
}
