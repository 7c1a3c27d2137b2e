/**
 * The called side of one call on a link. The response head is held back until the end of the event loop turn, so that a
 * response that is complete by then is sent as a single frame.
 */
import { EventEmitter } from 'node:events';
import { Readable } from 'node:stream';
import type { Outcome } from '../call/outcome.js';
import type { AnswerSink } from '../http/answer-sink.js';
import type { RawHeaders } from '../http/header-filter.js';
import { BodyWindow } from './body-window.js';
import type { PendingFrame } from './link-connection.js';
import type { CallFrame, HeadFrame, LinkFrame } from './link-frames.js';

const EMPTY_BODY = Buffer.alloc(0);

/** Creates the stream of a request body that arrives in data frames. */
function createBodyStream(): Readable {
  const stream = new Readable({ read: () => undefined });
  // undici listens only from dispatch to the end of its attempt; without a listener, an 'error' event ends the process.
  // Nothing is lost: the events 'cancel' and 'bodyFailure' end the call.
  stream.on('error', () => undefined);
  return stream;
}

/** Handles an incoming call. */
export type LinkCallHandler = (call: IncomingLinkCall) => void;

/** The operations of a link that an incoming call uses. */
interface CalledSideLink {
  send(frame: LinkFrame): void;
  /** Calls `pending.sendPending` at the end of this event loop turn. */
  sendLater(pending: PendingFrame): void;
  /** Removes a call. @returns whether it was in flight */
  release(id: number): boolean;
}

/**
 * An incoming call and the sink of its response. Emits `cancel` when the caller cancels or disconnects, and `bodyFailure`
 * when the caller cannot send the rest of a streamed request body.
 */
export class IncomingLinkCall extends EventEmitter implements AnswerSink, PendingFrame {
  /** Returns the outcome to send with the response head. Called once, by {@link writeHead}. */
  takeOutcome: (() => Outcome) | undefined;
  /** The complete request body, a stream of it, or null if there is none. */
  readonly body: Buffer | Readable | null;
  private readonly window = new BodyWindow();
  /** The request body if it is streamed. */
  private readonly bodyStream: Readable | undefined;
  /** The response head, held back until the end of the turn. */
  private pendingHead: HeadFrame | undefined;
  /** The first response chunk, if it was written in the same turn as the head. */
  private pendingBody: Buffer | undefined;

  constructor(
    readonly frame: CallFrame,
    private readonly link: CalledSideLink,
  ) {
    super();
    if (frame.body === undefined) {
      this.bodyStream = createBodyStream();
      this.body = this.bodyStream;
    } else this.body = frame.body;
  }

  /** Identifies the process that sent the call, as long as it stays connected. */
  get caller(): object {
    return this.link;
  }

  /** Refuses the call. */
  refuse(outcome: Outcome): void {
    const { id } = this.frame;
    if (this.link.release(id)) this.link.send({ type: 'refused', id, outcome });
  }

  writeHead(status: number, headers: RawHeaders): void {
    const outcome = this.takeOutcome!();
    this.pendingHead = { type: 'head', id: this.frame.id, status, headers, outcome };
    this.link.sendLater(this);
  }

  write(chunk: Buffer): boolean {
    if (this.pendingHead !== undefined && this.pendingBody === undefined) {
      this.pendingBody = chunk;
      return true;
    }
    this.sendPending();
    return this.sendData(chunk);
  }

  /** Sends the held-back head and chunk; the rest of the response follows in separate frames. */
  sendPending(): void {
    const { pendingHead, pendingBody } = this;
    if (pendingHead === undefined) return;
    this.pendingHead = undefined;
    this.pendingBody = undefined;
    this.link.send(pendingHead);
    if (pendingBody !== undefined) this.sendData(pendingBody);
  }

  private sendData(chunk: Buffer): boolean {
    this.link.send({ type: 'data', id: this.frame.id, bytes: chunk });
    this.window.onSent(chunk.length);
    return this.window.isOpen;
  }

  end(): void {
    const { id } = this.frame;
    const { pendingHead, pendingBody } = this;
    this.pendingHead = undefined;
    if (!this.link.release(id)) return;
    if (pendingHead === undefined) this.link.send({ type: 'end', id });
    else this.link.send({ ...pendingHead, type: 'answer', body: pendingBody ?? EMPTY_BODY });
  }

  destroy(): void {
    const { id } = this.frame;
    this.sendPending();
    if (this.link.release(id)) this.link.send({ type: 'broken', id });
  }

  onFrame(frame: LinkFrame): void {
    switch (frame.type) {
      case 'cancel':
        this.onCancelled();
        return;
      case 'taken':
        this.window.onAcknowledged(frame.bytes);
        if (this.window.isOpen) this.emit('drain');
        return;
      case 'data':
        this.onBodyData(frame.bytes);
        return;
      case 'end':
        this.bodyStream?.push(null);
        return;
      case 'broken':
        this.emit('bodyFailure');
        this.destroyBody('Request body is incomplete');
        return;
      default:
      // The other frame types are only sent to the calling side.
    }
  }

  /** Handles a cancel frame or the loss of the connection. */
  onCancelled(): void {
    this.link.release(this.frame.id);
    this.pendingHead = undefined;
    this.destroyBody('Call was cancelled or its connection closed');
    this.emit('cancel');
  }

  /** Fails a streamed request body that will not be completed. If undici is sending it, undici aborts the request. */
  private destroyBody(reason: string): void {
    // undici checks neither class nor code.
    this.bodyStream?.destroy(new Error(reason));
  }

  private onBodyData(bytes: Buffer): void {
    const { bodyStream } = this;
    if (bodyStream === undefined || bodyStream.destroyed) return;
    bodyStream.push(bytes);
    const { id } = this.frame;
    const acknowledge = (): void => this.link.send({ type: 'taken', id, bytes: bytes.length });
    if (bodyStream.readableLength <= bodyStream.readableHighWaterMark) acknowledge();
    else bodyStream.once('readable', acknowledge);
  }
}
