/** The calling side of one call on a link, with flow control of its request and response bodies. */
import type { Readable } from 'node:stream';
import type { Outcome } from '../call/outcome.js';
import type { RawHeaders } from '../http/header-filter.js';
import { BodyWindow } from './body-window.js';
import {
  BODY_WINDOW_BYTES,
  type CallFrame,
  type LinkFrame,
  type StreamFrame,
} from './link-frames.js';

/** A call to send. */
export interface LinkCall extends Omit<CallFrame, 'type' | 'id' | 'body'> {
  /** The complete body, a stream of it, or null if there is none. */
  readonly body: Buffer | Readable | null;
}

/** Receives the response of a call. */
export interface LinkCallListener {
  /** A complete response; no other method is called afterwards. */
  onAnswer(status: number, headers: RawHeaders, outcome: Outcome, body: Buffer): void;
  onHead(status: number, headers: RawHeaders, outcome: Outcome): void;
  onRefused(outcome: Outcome): void;
  /** @returns whether the bytes were consumed; if not, call {@link LinkStream.acknowledge} once they are */
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  /** @param written whether the peer may have received the call */
  onFailure(written: boolean): void;
}

/** The operations of a link that an outgoing call uses. */
interface CallerSideLink {
  /** Whether frames are sent immediately instead of queued. */
  readonly isOpen: boolean;
  /** Whether the call is in flight. */
  has(id: number): boolean;
  send(frame: LinkFrame): void;
  /** Cancels a call at the peer, or removes its frames from the queue if they have not been sent. */
  cancelCall(id: number): void;
  /** Removes a call. @returns whether it was in flight */
  release(id: number): boolean;
}

/** Consumed bytes after which an acknowledgement is sent. Smaller responses need none. */
const ACKNOWLEDGE_AFTER_BYTES = BODY_WINDOW_BYTES / 2;

export class LinkStream {
  private readonly window = new BodyWindow();
  /** Resumes {@link sendBody} when the window may have reopened. */
  private resumeBody: (() => void) | undefined;
  /** Consumed response bytes that have not been acknowledged yet. */
  private unacknowledgedBytes = 0;

  constructor(
    private readonly link: CallerSideLink,
    private readonly id: number,
    readonly listener: LinkCallListener,
  ) {}

  /** Cancels the call. The listener is not called afterwards. */
  cancel(): void {
    if (this.link.release(this.id)) this.link.cancelCall(this.id);
  }

  /** Records consumed response bytes and acknowledges them in batches. */
  acknowledge(bytes: number): void {
    this.unacknowledgedBytes += bytes;
    if (this.unacknowledgedBytes < ACKNOWLEDGE_AFTER_BYTES) return;
    this.link.send({ type: 'taken', id: this.id, bytes: this.unacknowledgedBytes });
    this.unacknowledgedBytes = 0;
  }

  /** Whether the peer may have received the call. */
  get written(): boolean {
    return this.link.isOpen;
  }

  onFrame(frame: StreamFrame): void {
    const { listener, link, id } = this;
    switch (frame.type) {
      case 'head':
        listener.onHead(frame.status, frame.headers, frame.outcome);
        return;
      case 'answer':
        link.release(id);
        listener.onAnswer(frame.status, frame.headers, frame.outcome, frame.body);
        return;
      case 'refused':
        link.release(id);
        listener.onRefused(frame.outcome);
        return;
      case 'data':
        if (listener.onData(frame.bytes)) this.acknowledge(frame.bytes.length);
        return;
      case 'end':
        link.release(id);
        listener.onEnd();
        return;
      case 'broken':
        link.release(id);
        listener.onFailure(true);
        return;
      case 'taken':
        this.window.onAcknowledged(frame.bytes);
        this.resumeBody?.();
        return;
      case 'call':
      case 'cancel':
      // Only sent to the called side.
    }
  }

  /** Sends a streamed body in data frames, as far as the window allows. */
  async sendBody(body: Readable): Promise<void> {
    const { link, id } = this;
    // The body may be discarded while its sender waits for an acknowledgement.
    body.once('close', () => this.resumeBody?.());
    try {
      for await (const chunk of body as AsyncIterable<Buffer>) {
        link.send({ type: 'data', id, bytes: chunk });
        this.window.onSent(chunk.length);
        while (!this.window.isOpen && link.has(id) && !body.destroyed) {
          await this.waitForAcknowledgement();
        }
        if (!link.has(id)) return;
      }
      link.send({ type: 'end', id });
    } catch {
      // The caller's body failed. The call itself ends when the caller's connection closes.
      if (link.has(id)) link.send({ type: 'broken', id });
    }
  }

  /** Fails the call because the link was closed. @param wasConnected whether the call may have been sent */
  onClose(wasConnected: boolean): void {
    this.resumeBody?.();
    this.listener.onFailure(wasConnected);
  }

  private waitForAcknowledgement(): Promise<void> {
    return new Promise((resolve) => {
      this.resumeBody = resolve;
    });
  }
}
