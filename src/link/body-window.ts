/**
 * Flow control of one body: holds its sender back to what its receiver takes.
 *
 * For: both sides of a link, one window for each body that they send. Owns: the count of bytes under way. Relies on: the
 * receiver's reports of what it has taken.
 */
import { BODY_WINDOW_BYTES } from './link-frames.js';

export class BodyWindow {
  /** Bytes that were sent and not yet reported as taken. */
  private inFlightBytes = 0;

  /** Whether more may be sent now. */
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
