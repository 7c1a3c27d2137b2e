/**
 * One call under way on a link, at its called side.
 *
 * For: the gate, which takes the call and writes its answer. Owns: the body as it arrives, the window of the answer's
 * body, and the answer's head until the end of the turn in which it was written: a whole answer goes out as one frame.
 * Relies on: the link to send frames, and to say when the caller is gone.
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

/** Takes the calls that arrive. */
export type LinkCallHandler = (call: IncomingLinkCall) => void;

/** What an arrived call needs of its link. */
interface CalledSideLink {
  send(frame: LinkFrame): void;
  /** Has `pending` send its frame at the end of this turn of the event loop. */
  sendLater(pending: PendingFrame): void;
  /** Forgets a call. @returns whether it was under way */
  release(id: number): boolean;
}

/** A call that arrived, and the sink of its answer. Emits `cancel` when the caller is gone. */
export class IncomingLinkCall extends EventEmitter implements AnswerSink, PendingFrame {
  /** The outcome to send with the answer's head; taken once. */
  takeOutcome: (() => Outcome) | undefined;
  /** The whole body, or a stream of it. */
  readonly body: Buffer | Readable | null;
  private readonly window = new BodyWindow();
  /** The body where it is a stream. */
  private readonly bodyStream: Readable | undefined;
  /** The head of the answer, until it is known whether the rest comes in the same turn. */
  private pendingHead: HeadFrame | undefined;
  /** The first part of the body, if it came in the turn of the head. */
  private pendingBody: Buffer | undefined;

  constructor(
    readonly frame: CallFrame,
    private readonly link: CalledSideLink,
  ) {
    super();
    if (frame.body === undefined) {
      this.bodyStream = new Readable({ read: () => undefined });
      this.body = this.bodyStream;
    } else this.body = frame.body;
  }

  /** The gate answers itself. */
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

  /** The rest of the answer did not come in the turn of its head. */
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
        this.destroyBody('the body broke off');
        return;
      default:
      // Only the calling side gets the others.
    }
  }

  /** The caller, or its connection, is gone. */
  onCancelled(): void {
    this.link.release(this.frame.id);
    this.pendingHead = undefined;
    this.destroyBody('the caller is gone');
    this.emit('cancel');
  }

  /** A body that streams in will not be whole: undici breaks off the request to the target that carries it. */
  private destroyBody(reason: string): void {
    // Undici alone sees this error, and looks at neither class nor code.
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
