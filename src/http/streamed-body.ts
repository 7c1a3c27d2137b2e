/**
 * The request body of a caller that is too long to be buffered: its first part, then the rest as it arrives, with
 * backpressure. Destroying it discards the rest, so that the caller can still read its response and reuse the connection.
 */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import { ShoredoorError } from '../common/errors.js';

export class StreamedBody extends Readable {
  /** Bytes received so far. */
  private size: number;

  /**
   * @param message must be paused
   * @param firstChunks the part that was read before
   * @param maxBytes size of the whole body above which the caller's connection is closed
   */
  constructor(
    private readonly message: IncomingMessage,
    firstChunks: readonly Buffer[],
    private readonly maxBytes: number,
  ) {
    super();
    // A body can fail while nothing reads it, and an 'error' event without a listener ends the process. Nothing is lost:
    // whoever reads the body gets the error, and the caller's connection has closed before.
    this.on('error', () => undefined);
    for (const chunk of firstChunks) this.push(chunk);
    this.size = this.readableLength;
    message.on('data', this.onData);
    message.on('end', this.onEnd);
    message.on('close', this.onClose);
  }

  override _read(): void {
    this.message.resume();
  }

  override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    this.message.resume();
    callback(error);
  }

  private readonly onData = (chunk: Buffer): void => {
    // The rest of a destroyed body is dropped whatever its size: closing the connection could lose the response.
    if (this.destroyed) return;
    this.size += chunk.length;
    if (this.size > this.maxBytes) this.rejectTooLarge();
    else if (!this.push(chunk)) this.message.pause();
  };

  private readonly onEnd = (): void => {
    this.message.off('close', this.onClose);
    if (!this.destroyed) this.push(null);
  };

  private readonly onClose = (): void => this.fail('request body is incomplete');

  /**
   * Closes the caller's connection, and fails the body after that. An attempt that failed before would count as a failure of
   * its target instead of its caller.
   */
  private rejectTooLarge(): void {
    const { message } = this;
    message.off('close', this.onClose);
    message.socket.once('close', () => this.fail('request body exceeds the maximum size'));
    message.destroy();
  }

  private fail(message: string): void {
    this.destroy(new ShoredoorError(message));
  }
}
