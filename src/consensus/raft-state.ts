/**
 * State shared by the classes of a Raft replica: role, term, vote, leader, log and commit index. Includes operations
 * that several of them need, such as writing to disk, adopting a term and stepping down.
 */
import { allReplicas } from './peer-progress.js';
import { RaftLog } from './raft-log.js';
import type { RaftOptions, RaftRole } from './raft-options.js';
import type { MessageTarget, RaftMessage } from './raft-types.js';
import type { HardState, LogEntry, PersistedState, Replica } from '../storage/persisted-state.js';

export class RaftState {
  role: RaftRole = 'follower';
  term: number;
  votedFor: string;
  readonly log: RaftLog;
  leader: Replica | undefined;
  commitIndex: number;
  /** Last index that is synced to this replica's disk. */
  syncedIndex: number;
  /** Time of the last message from the leader, in monotonic milliseconds. */
  lastLeaderMessageAt = -Infinity;
  failed = false;
  stopped = false;
  private readonly stepDownListeners: (() => void)[] = [];

  constructor(
    readonly options: RaftOptions,
    persisted: PersistedState,
  ) {
    this.term = persisted.hardState.term;
    this.votedFor = persisted.hardState.votedFor;
    this.log = new RaftLog(persisted.snapshot, persisted.entries);
    this.commitIndex = persisted.snapshot?.index ?? 0;
    this.syncedIndex = this.log.lastIndex;
  }

  get self(): Replica {
    return this.options.self;
  }

  get identity(): string {
    return this.options.self.identity;
  }

  get now(): number {
    return this.options.clock.now();
  }

  /** False after the replica was stopped or a write failed. It then neither sends nor processes messages. */
  get isActive(): boolean {
    return !this.failed && !this.stopped;
  }

  get isVoter(): boolean {
    return this.log.replicas.voters.some((voter) => voter.identity === this.identity);
  }

  /** Whether this replica is in its own replica set. */
  get isMember(): boolean {
    return allReplicas(this.log.replicas).some((replica) => replica.identity === this.identity);
  }

  /** The other replicas of the set, including learners. */
  get peers(): Replica[] {
    return allReplicas(this.log.replicas).filter((replica) => replica.identity !== this.identity);
  }

  /** Whether an entry of the current term is committed. Until then, a leader's commit index may be out of date. */
  get hasCommittedInTerm(): boolean {
    return this.log.termAt(this.commitIndex) === this.term;
  }

  send(to: MessageTarget, message: RaftMessage): void {
    if (this.isActive) this.options.transport.send(to, message);
  }

  /** Registers a listener that is called whenever this replica loses leadership. */
  onStepDown(listener: () => void): void {
    this.stepDownListeners.push(listener);
  }

  /** Becomes a follower without a known leader. */
  stepDown(): void {
    const wasLeader = this.role === 'leader';
    this.role = 'follower';
    this.leader = undefined;
    if (wasLeader) for (const listener of this.stepDownListeners) listener();
  }

  adoptTerm(term: number): void {
    this.term = term;
    this.votedFor = '';
    this.stepDown();
    // No need to wait: writes are ordered, so this one is synced before any later response that depends on a write.
    this.saveHardState(() => undefined);
  }

  /** Writes term and vote to disk and calls `done` once they are synced. */
  saveHardState(done: () => void): void {
    const state: HardState = { term: this.term, votedFor: this.votedFor };
    this.options.storage.saveHardState(state, (error) => this.afterWrite(error, done));
  }

  /** Writes entries of the log to disk and calls `done` once they and all earlier writes are synced. */
  writeEntries(entries: readonly LogEntry[], done: () => void): void {
    const first = entries[0];
    const last = entries.at(-1);
    if (first !== undefined) this.syncedIndex = Math.min(this.syncedIndex, first.index - 1);
    this.options.storage.appendEntries(entries, (error) => {
      this.afterWrite(error, () => {
        // The entries may have been replaced while the write was in progress.
        const isStillInLog = last !== undefined && this.log.termAt(last.index) === last.term;
        if (isStillInLog) this.syncedIndex = Math.max(this.syncedIndex, last.index);
        done();
      });
    });
  }

  /** Calls `done` after a successful write. After a failed one the replica steps down and becomes inactive. */
  afterWrite(error: Error | undefined, done: () => void): void {
    if (!this.isActive) return;
    if (error === undefined) {
      done();
      return;
    }
    this.stepDown();
    this.failed = true;
    this.options.onStorageFailure(error);
  }
}
