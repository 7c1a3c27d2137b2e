/**
 * Tells answers that end with their connection from those whose connection was reset. Undici takes both for complete; an
 * answer without a length that ends in a reset is not (RFC 9112, section 8).
 *
 * For: `instance-pool.ts`. Owns: whether a connection of its pools is being reset in this turn of the event loop. Relies
 * on: its error listener running before undici's, and undici ending the answer in the same turn.
 */
import { buildConnector } from 'undici';

export class ResetWatch {
  private resetting = false;
  private readonly connect: buildConnector.connector;

  /** @param timeoutMs longest time for a connection to be made, in milliseconds */
  constructor(timeoutMs: number) {
    this.connect = buildConnector({ timeout: timeoutMs });
  }

  /** Whether a connection is being reset right now: answers that end in this turn are cut off. */
  get isResetting(): boolean {
    return this.resetting;
  }

  /** Makes connections whose resets are seen before undici acts on them. */
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
