/**
 * The state that the parts of a replica share, with the steps that several of them take: writing to
 * disk, adopting a term, stepping down. Owns role, term, vote, leader and commit index; term and vote are written before they are
 * acted on.
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
  /** Last index that is synced on this replica's own disk. */
  syncedIndex: number;
  /** Monotonic milliseconds of the leader's last message. */
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

  /** Whether this replica still takes part. */
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

  /** The other replicas, learners included. */
  get peers(): Replica[] {
    return allReplicas(this.log.replicas).filter((replica) => replica.identity !== this.identity);
  }

  /** Whether this leader has committed an entry of its own term: then its commit index is current. */
  get hasCommittedInTerm(): boolean {
    return this.log.termAt(this.commitIndex) === this.term;
  }

  send(to: MessageTarget, message: RaftMessage): void {
    if (this.isActive) this.options.transport.send(to, message);
  }

  /** Runs `listener` whenever this replica stops leading. */
  onStepDown(listener: () => void): void {
    this.stepDownListeners.push(listener);
  }

  /** Becomes a follower of no known leader. */
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
    // Writes are done in order, so whatever is answered in the new term comes after this one.
    this.saveHardState(() => undefined);
  }

  /** Writes term and vote; calls back once they are synced. */
  saveHardState(done: () => void): void {
    const state: HardState = { term: this.term, votedFor: this.votedFor };
    this.options.storage.saveHardState(state, (error) => this.afterWrite(error, done));
  }

  /** Writes entries that the log holds already; calls back once they and all before are synced. */
  writeEntries(entries: readonly LogEntry[], done: () => void): void {
    const first = entries[0];
    const last = entries.at(-1);
    if (first !== undefined) this.syncedIndex = Math.min(this.syncedIndex, first.index - 1);
    this.options.storage.appendEntries(entries, (error) => {
      this.afterWrite(error, () => {
        // A later write may have replaced these entries meanwhile.
        const isStillInLog = last !== undefined && this.log.termAt(last.index) === last.term;
        if (isStillInLog) this.syncedIndex = Math.max(this.syncedIndex, last.index);
        done();
      });
    });
  }

  /** Runs `done` after a write that was synced; takes no further part after one that failed. */
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
