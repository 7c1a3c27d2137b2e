/**
 * One call under way on a link, at its calling side.
 *
 * For: `peer-transport.ts`, through `link-pool.ts`. Owns: the windows of both bodies. Relies on: the link to send frames
 * and to say when it is over.
 */
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
  /** The whole body, or a stream that can be read once. */
  readonly body: Buffer | Readable | null;
}

/** Told how one call goes. */
export interface LinkCallListener {
  /** The whole answer came at once; nothing follows. */
  onAnswer(status: number, headers: RawHeaders, outcome: Outcome, body: Buffer): void;
  onHead(status: number, headers: RawHeaders, outcome: Outcome): void;
  onRefused(outcome: Outcome): void;
  /** @returns whether the bytes are taken; if not, {@link LinkStream.acknowledge} follows later */
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  /** @param written whether the peer may have got the call */
  onFailure(written: boolean): void;
}

/** What a call needs of its link. */
interface CallerSideLink {
  /** Whether frames are written at once. */
  readonly isOpen: boolean;
  /** Whether the call is under way. */
  has(id: number): boolean;
  send(frame: LinkFrame): void;
  /** Tells the peer that a call is over; one that has not been written yet is never sent. */
  cancelCall(id: number): void;
  /** Forgets a call. @returns whether it was under way */
  release(id: number): boolean;
}

/** Bytes of an answer that are passed on before the peer is told, so that most answers need no frame for it. */
const ACKNOWLEDGE_AFTER_BYTES = BODY_WINDOW_BYTES / 2;

export class LinkStream {
  private readonly window = new BodyWindow();
  /** Continues {@link sendBody}, which waits for its window. */
  private resumeBody: (() => void) | undefined;
  /** Bytes that were taken and not reported yet. */
  private unacknowledgedBytes = 0;

  constructor(
    private readonly link: CallerSideLink,
    private readonly id: number,
    readonly listener: LinkCallListener,
  ) {}

  /** Stops the call. The listener is not called any more. */
  cancel(): void {
    if (this.link.release(this.id)) this.link.cancelCall(this.id);
  }

  /** The bytes of an answer have been passed on. */
  acknowledge(bytes: number): void {
    this.unacknowledgedBytes += bytes;
    if (this.unacknowledgedBytes < ACKNOWLEDGE_AFTER_BYTES) return;
    this.link.send({ type: 'taken', id: this.id, bytes: this.unacknowledgedBytes });
    this.unacknowledgedBytes = 0;
  }

  /** Whether the peer may have got the call. */
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
      // Only the gate's side gets these.
    }
  }

  /** Sends a body that is too large to be held. */
  async sendBody(body: Readable): Promise<void> {
    const { link, id } = this;
    try {
      for await (const chunk of body as AsyncIterable<Buffer>) {
        link.send({ type: 'data', id, bytes: chunk });
        this.window.onSent(chunk.length);
        while (!this.window.isOpen && link.has(id)) await this.waitForAcknowledgement();
        if (!link.has(id)) return;
      }
      link.send({ type: 'end', id });
    } catch {
      // The caller's body broke off: the peer is told, and the end of the caller's connection ends the call.
      link.send({ type: 'broken', id });
    }
  }

  /** The link is over. */
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
