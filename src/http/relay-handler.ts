/**
 * Receives one attempt's answer from undici and passes it on to the caller's response with backpressure. An answer that
 * breaks off destroys the response, so the caller never takes a part for the whole (RFC 9112, section 8).
 *
 * For: every transport that sends over HTTP. Owns: the state of the attempt. Relies on: its listener to decide whether an
 * answer is passed on, and on its policy for what differs between transports.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AnswerSink } from './answer-sink.js';
import type { AnswerHead, Attempt, AttemptListener } from '../call/transport.js';
import { endToEndHeaders, type RawHeaders } from './header-filter.js';

/** Reads from the headers what the call modules need, and adds to what the caller gets. */
export interface RelayPolicy {
  /** The head as the call modules see it. */
  readHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Headers to add to the relayed answer. Called once, after `onHead` decided to relay. */
  extraHeaders(): RawHeaders;
  /** Whether an answer that ends now was cut off by a reset of its connection. Default: never. */
  isCutOff?(): boolean;
  /** An answer has begun. */
  onAnswered?(): void;
  /** The attempt was stopped after it was written and before an answer began. */
  onUnanswered?(): void;
}

/**
 * `waiting`: no answer has begun. `relaying`: it is passed on as it arrives. `discarding`: it arrives and is dropped.
 * `cancelled`: the attempt was stopped from this side. `done`: it ended or failed.
 */
type State = 'waiting' | 'relaying' | 'discarding' | 'cancelled' | 'done';

/** Undici gives it back to {@link RelayHandler.onResponseError}, which looks at neither class nor code. */
const ABORT_REASON = new Error('shoredoor: the attempt was stopped');
const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

export class RelayHandler implements Dispatcher.DispatchHandler, Attempt {
  written = false;
  private state: State = 'waiting';
  private controller: Dispatcher.DispatchController | undefined;
  private readonly onDrain = (): void => this.controller?.resume();

  constructor(
    private readonly response: AnswerSink,
    private readonly policy: RelayPolicy,
    private readonly listener: AttemptListener,
  ) {}

  private get isFinished(): boolean {
    return this.state === 'done' || this.state === 'cancelled';
  }

  /** Stops the attempt; the listener is not called any more. */
  cancel(): void {
    if (this.isFinished) return;
    if (this.state === 'waiting' && this.written) this.policy.onUnanswered?.();
    this.state = 'cancelled';
    this.response.off('drain', this.onDrain);
    this.controller?.abort(ABORT_REASON);
  }

  /** Undici is about to write the request to a connection. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.state === 'cancelled') controller.abort(ABORT_REASON);
    else this.written = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.isFinished || statusCode < 200) return;
    this.policy.onAnswered?.();
    const decision = this.listener.onHead(this.policy.readHead(statusCode, headers));
    if (decision === 'discard') {
      this.state = 'discarding';
      return;
    }
    if (this.isFinished) return;
    this.state = 'relaying';
    this.relayHead(controller, statusCode, headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.state !== 'relaying') return;
    if (this.response.write(chunk)) return;
    controller.pause();
    this.response.once('drain', this.onDrain);
  }

  onResponseEnd(): void {
    if (this.state === 'relaying' && this.policy.isCutOff?.() === true) {
      this.abortResponse();
      return;
    }
    if (this.state === 'relaying') {
      this.state = 'done';
      this.response.end();
      this.listener.onEnd();
      return;
    }
    if (this.state !== 'cancelled') this.state = 'done';
  }

  onResponseError(_controller: Dispatcher.DispatchController, _error: Error): void {
    if (this.state === 'relaying') {
      this.abortResponse();
      return;
    }
    const { state, written } = this;
    if (state !== 'cancelled') this.state = 'done';
    if (state === 'waiting') {
      this.listener.onFailure({ reason: written ? 'reset' : 'connect', written });
    }
  }

  /** The answer is not whole, and its receiver must see that. */
  private abortResponse(): void {
    this.state = 'done';
    this.response.destroy();
    this.listener.onFailure({ reason: 'broken-answer', written: true });
  }

  private relayHead(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    const raw = toRawHeaders(controller.rawHeaders, headers);
    const kept = endToEndHeaders(raw, headers.connection, NO_EXCLUDED_HEADERS);
    kept.push(...this.policy.extraHeaders());
    this.response.writeHead(statusCode, kept);
  }
}

/** Undici's raw headers as text; the parsed ones where it gives no raw ones. */
function toRawHeaders(
  rawHeaders: Dispatcher.DispatchController['rawHeaders'],
  headers: IncomingHttpHeaders,
): string[] {
  if (Array.isArray(rawHeaders)) {
    return rawHeaders.map((part) => (typeof part === 'string' ? part : part.toString('latin1')));
  }
  const raw: string[] = [];
  for (const [name, value] of Object.entries(headers)) {
    for (const single of Array.isArray(value) ? value : [value ?? '']) raw.push(name, single);
  }
  return raw;
}
