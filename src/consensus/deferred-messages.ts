/** Messages that arrive while a replica can't process any, kept up to a maximum; further ones are dropped. */
import type { RaftMessage } from './raft-types.js';

const MAX_MESSAGES = 64;

export class DeferredMessages {
  /** Undefined while messages are not deferred. */
  private messages: RaftMessage[] | undefined;

  /** Starts to defer messages. */
  start(): void {
    this.messages = [];
  }

  /** Keeps a message. @returns false if messages are not deferred */
  add(message: RaftMessage): boolean {
    if (this.messages === undefined) return false;
    if (this.messages.length < MAX_MESSAGES) this.messages.push(message);
    return true;
  }

  /** Stops deferring. @returns the messages, in order of arrival */
  take(): readonly RaftMessage[] {
    const messages = this.messages ?? [];
    this.messages = undefined;
    return messages;
  }
}
