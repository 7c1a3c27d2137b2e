/**
 * Response to a caller whose head is written with the first byte of the body, or with its end. Node.js does not send it
 * earlier either. An answer that breaks off before that can still be replaced by a refusal.
 */
import type { RawHeaders } from './header-filter.js';
import { ResponseSink } from './response-sink.js';

export class DeferredResponse extends ResponseSink {
  private writePendingHead: (() => void) | undefined;

  override writeHead(status: number, headers: RawHeaders): void {
    this.writePendingHead = () => super.writeHead(status, headers);
  }

  override write(chunk: Buffer): boolean {
    this.flushHead();
    return super.write(chunk);
  }

  override end(lastChunk?: Buffer): void {
    this.flushHead();
    super.end(lastChunk);
  }

  /** Aborts the answer. The response stays usable if nothing of the answer was written. */
  override destroy(): void {
    if (this.writePendingHead === undefined) super.destroy();
    this.writePendingHead = undefined;
  }

  private flushHead(): void {
    this.writePendingHead?.();
    this.writePendingHead = undefined;
  }
}
