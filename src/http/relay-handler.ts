/**
 * Undici dispatch handler for one attempt: relays its answer to the caller's response with backpressure. An answer that is
 * cut off destroys the response, so that the caller does not treat it as complete (RFC 9112, section 8).
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import type { AnswerSink } from './answer-sink.js';
import type { AnswerHead, Attempt, AttemptListener } from '../call/transport.js';
import { ChunkMerger } from './chunk-merger.js';
import { filterEndToEndHeaders, type RawHeaders } from './header-filter.js';
import { isStatusCode } from '../common/http-status.js';

/** The parts of relaying that differ between transports. */
export interface RelayPolicy {
  /** Called with the head of each response, also of those that are not relayed. */
  onResponse?(status: number, headers: IncomingHttpHeaders): void;
  /** Converts the head of an answer for the {@link AttemptListener}. */
  readHead(status: number, headers: IncomingHttpHeaders): AnswerHead;
  /** Headers to add to the relayed answer. Called once, after `onHead` returned `relay`. */
  extraHeaders(): RawHeaders;
  /** Whether an answer that ends now was cut off by a connection reset. Default: never. */
  isCutOff?(): boolean;
  /** Called when an answer begins. */
  onAnswered?(): void;
  /** Called when the attempt is cancelled after the request was written and before an answer began. */
  onUnanswered?(): void;
}

/**
 * `waiting`: no answer has begun. `relaying`: the answer is forwarded as it arrives. `discarding`: it is dropped as it
 * arrives. `cancelled`: the attempt was cancelled by {@link RelayHandler.cancel}. `done`: the answer ended or failed.
 */
type State = 'waiting' | 'relaying' | 'discarding' | 'cancelled' | 'done';

/** Undici passes it to {@link RelayHandler.onResponseError}, which ignores the error. */
const ABORT_REASON = new Error('shoredoor: the attempt was cancelled');
/** Fails the attempt like any other bytes that are no answer. */
const INVALID_STATUS = new Error('shoredoor: the answer has no valid status');
const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

export class RelayHandler implements Dispatcher.DispatchHandler, Attempt {
  written = false;
  private state: State = 'waiting';
  private controller: Dispatcher.DispatchController | undefined;
  private readonly chunks = new ChunkMerger((chunk) => this.writeChunk(chunk));
  private isPaused = false;
  private readonly onDrain = (): void => {
    this.isPaused = false;
    this.controller?.resume();
  };

  constructor(
    private readonly response: AnswerSink,
    private readonly policy: RelayPolicy,
    private readonly listener: AttemptListener,
  ) {}

  private get isFinished(): boolean {
    return this.state === 'done' || this.state === 'cancelled';
  }

  /** Cancels the attempt. The listener is not called afterwards. */
  cancel(): void {
    if (this.isFinished) return;
    if (this.state === 'waiting' && this.written) this.policy.onUnanswered?.();
    this.state = 'cancelled';
    this.chunks.clear();
    this.response.off('drain', this.onDrain);
    this.controller?.abort(ABORT_REASON);
  }

  /** Called when undici is about to write the request to a connection. */
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
    if (!isStatusCode(statusCode)) {
      controller.abort(INVALID_STATUS);
      return;
    }
    if (statusCode < 200) return;
    this.policy.onResponse?.(statusCode, headers);
    if (this.isFinished) return;
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

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.state === 'relaying') this.chunks.add(chunk);
  }

  onResponseEnd(): void {
    if (this.state === 'relaying' && this.policy.isCutOff?.() === true) {
      this.abortResponse();
      return;
    }
    if (this.state === 'relaying') {
      this.chunks.flush();
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

  private writeChunk(chunk: Buffer): void {
    if (this.response.write(chunk) || this.isPaused) return;
    this.isPaused = true;
    this.controller?.pause();
    this.response.once('drain', this.onDrain);
  }

  /** Aborts an incomplete answer, so that the caller does not treat it as complete. */
  private abortResponse(): void {
    this.chunks.flush();
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
    const kept = filterEndToEndHeaders(raw, headers.connection, NO_EXCLUDED_HEADERS);
    kept.push(...this.policy.extraHeaders());
    this.response.writeHead(statusCode, kept);
  }
}

/** Converts undici's raw headers to strings; falls back to the parsed headers if there are no raw ones. */
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
