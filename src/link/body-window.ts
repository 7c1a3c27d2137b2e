/**
 * Send window of one message body. Limits the bytes in flight to {@link BODY_WINDOW_BYTES}, so that a slow receiver
 * applies backpressure to the sender.
 */
import { BODY_WINDOW_BYTES } from './link-frames.js';

export class BodyWindow {
  /** Bytes that were sent and not yet acknowledged by the receiver. */
  private inFlightBytes = 0;

  /** Whether more bytes may be sent. */
  get isOpen(): boolean {
    return this.inFlightBytes < BODY_WINDOW_BYTES;
  }

  onSent(bytes: number): void {
    this.inFlightBytes += bytes;
  }

  onAcknowledged(bytes: number): void {
    this.inFlightBytes = Math.max(0, this.inFlightBytes - bytes);
  }
}
