/**
 * Response to a caller whose head is written with the first byte of the body, or with its end. Node.js does not send it
 * earlier either. An answer that breaks off before that can still be replaced by a refusal.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './answer-sink.js';
import type { RawHeaders } from './header-filter.js';

export class DeferredResponse implements AnswerSink {
  private writePendingHead: (() => void) | undefined;

  constructor(private readonly response: ServerResponse) {}

  writeHead(status: number, headers: RawHeaders): void {
    this.writePendingHead = () => this.response.writeHead(status, headers);
  }

  write(chunk: Buffer): boolean {
    this.flushHead();
    return this.response.write(chunk);
  }

  end(lastChunk?: Buffer): void {
    this.flushHead();
    this.response.end(lastChunk);
  }

  /** Aborts the answer. The response stays usable if nothing of the answer was written. */
  destroy(): void {
    if (this.writePendingHead === undefined) this.response.destroy();
    this.writePendingHead = undefined;
  }

  once(event: 'drain', listener: () => void): void {
    this.response.once(event, listener);
  }

  off(event: 'drain', listener: () => void): void {
    this.response.off(event, listener);
  }

  private flushHead(): void {
    this.writePendingHead?.();
    this.writePendingHead = undefined;
  }
}
