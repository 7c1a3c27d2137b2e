/** Handles entries and snapshots from the leader. Responses are sent only after the data is synced to disk. */
import type { AppliedLog } from './applied-log.js';
import type { Election } from './election.js';
import type { RaftState } from './raft-state.js';
import type { AppendRequest, SnapshotRequest } from './raft-types.js';
import type { Replica } from '../storage/persisted-state.js';

export class LogReceiver {
  constructor(
    private readonly state: RaftState,
    private readonly applied: AppliedLog,
    private readonly election: Election,
  ) {}

  onAppendRequest(request: AppendRequest): void {
    const { state } = this;
    const { log } = state;
    if (request.term < state.term) {
      this.respond(request, false, log.lastIndex);
      return;
    }
    this.follow(request.from);
    const { previousIndex } = request;
    const isCompacted = previousIndex < log.firstIndex - 1;
    if (!isCompacted && log.termAt(previousIndex) !== request.previousTerm) {
      this.respond(request, false, Math.min(log.lastIndex, previousIndex - 1));
      return;
    }
    const matchIndex = previousIndex + request.entries.length;
    const added = log.merge(request.entries);
    const { term } = state;
    state.writeEntries(added, () => {
      if (state.term === term) this.respond(request, true, matchIndex);
    });
    // Committed entries are synced on a majority, so they can be applied before the local write completes.
    this.applied.commitUpTo(Math.min(request.commitIndex, matchIndex));
  }

  onSnapshotRequest(request: SnapshotRequest): void {
    const { state } = this;
    if (request.term < state.term) {
      this.respond(request, false, state.log.lastIndex);
      return;
    }
    this.follow(request.from);
    const { snapshot } = request;
    const respond = (): void => this.respond(request, true, snapshot.index);
    if (snapshot.index <= state.commitIndex) {
      // Entries up to the snapshot may not be synced yet; the empty write waits for them.
      state.writeEntries([], respond);
      return;
    }
    state.log.installSnapshot(snapshot);
    state.syncedIndex = state.log.lastIndex;
    this.applied.installSnapshot(snapshot);
    state.options.storage.saveSnapshot(snapshot, (error) => state.afterWrite(error, respond));
  }

  private follow(leader: Replica): void {
    const { state } = this;
    if (state.role !== 'follower') state.stepDown();
    state.leader = leader;
    state.lastLeaderMessageAt = state.now;
    this.election.onLeaderMessage();
  }

  private respond(
    request: AppendRequest | SnapshotRequest,
    success: boolean,
    matchIndex: number,
  ): void {
    const { self: from, term } = this.state;
    const { round } = request;
    this.state.send(request.from, {
      type: 'append-response',
      from,
      term,
      success,
      matchIndex,
      round,
    });
  }
}
