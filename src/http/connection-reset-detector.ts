/**
 * Detects connection resets while an answer is being read. Undici treats an answer without a length as complete when its
 * connection ends, even by a reset, which RFC 9112, section 8 does not allow. Depends on its error listener running before
 * undici's, and on undici ending the answer in the same turn of the event loop.
 */
import { buildConnector } from 'undici';

export class ConnectionResetDetector {
  private resetting = false;
  private readonly connect: buildConnector.connector;

  /** @param timeoutMs timeout for opening a connection, in milliseconds */
  constructor(timeoutMs: number) {
    this.connect = buildConnector({ timeout: timeoutMs });
  }

  /** Whether a connection was reset in this turn of the event loop: answers that end in it are incomplete. */
  get isResetting(): boolean {
    return this.resetting;
  }

  /** Opens connections and adds an error listener that runs before undici's. */
  readonly connector: buildConnector.connector = (options, callback) => {
    this.connect(options, (...result) => {
      const [, socket] = result;
      socket?.on('error', () => this.onError());
      callback(...result);
    });
  };

  private onError(): void {
    this.resetting = true;
    queueMicrotask(() => {
      this.resetting = false;
    });
  }
}
