/** Adapter from {@link ResourceStore} to the replicated {@link StateMachine}: decodes commands and snapshots. */
import { decodeMessage, encodeMessage } from '../common/message-codec.js';
import type { StateMachine } from '../consensus/raft-types.js';
import type { Command, CommandResult } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import type { StoreSnapshot } from './store-snapshot.js';

export class StoreMachine implements StateMachine {
  /** @param onChanged called after every command or snapshot, whether or not the revision changed */
  constructor(
    private readonly store: ResourceStore,
    private readonly onChanged: () => void,
  ) {}

  apply(data: Uint8Array): CommandResult {
    const result = this.store.apply(decodeMessage<Command>(data));
    this.onChanged();
    return result;
  }

  takeSnapshot(): Uint8Array {
    return encodeMessage(this.store.snapshot());
  }

  restoreSnapshot(data: Uint8Array): void {
    this.store.restore(decodeMessage<StoreSnapshot>(data));
    this.onChanged();
  }
}
