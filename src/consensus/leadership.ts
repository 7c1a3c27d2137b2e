/**
 * What the leader decides: what is committed, whether it still leads, which reads it may answer, and the next change of the
 * replica set. Owns the heartbeat's timer and the time up to which a majority has confirmed this leader; it relies on
 * `peer-replication.ts` for what the other replicas have, and on `replica-changes.ts` for the order of changes.
 */
import type { Timer } from '../common/clock.js';
import type { AppliedLog } from './applied-log.js';
import { isMajority, majorityValue } from './peer-progress.js';
import { PeerReplication } from './peer-replication.js';
import { PendingReads } from './pending-reads.js';
import type { ProposalCallback } from './raft-options.js';
import type { RaftState } from './raft-state.js';
import type { AppendResponse, JoinRequest } from './raft-types.js';
import type { EntryPayload, LogEntry, Replica, ReplicaSet } from '../storage/persisted-state.js';
import { nextReplicaChange, withLearner, withoutReplica } from './replica-changes.js';

/** Heartbeats in an election timeout: four may be lost before a replica stands for election. */
const HEARTBEATS_PER_TIMEOUT = 5;
/** A voter is silent after this many election timeouts without an answer: longer than an election. */
const UNRESPONSIVE_TIMEOUTS = 3;

export class Leadership {
  private readonly peers: PeerReplication;
  private timer: Timer | undefined;
  /** Start of the newest round that a majority has answered; undefined before the first. */
  private confirmedSince: number | undefined;

  constructor(
    protected readonly state: RaftState,
    private readonly applied: AppliedLog,
    private readonly reads: PendingReads,
  ) {
    this.peers = new PeerReplication(state);
    state.onStepDown(() => this.endLeadership());
  }

  /** See `RaftStatus.confirmedAt`. */
  get confirmedAt(): number | undefined {
    return this.state.role === 'leader' ? this.confirmedSince : undefined;
  }

  /** This replica was elected. */
  becomeLeader(): void {
    const { state } = this;
    state.role = 'leader';
    state.leader = state.self;
    this.peers.clear();
    this.append(this.firstPayload());
    this.heartbeat();
  }

  /** Stops leading; the most up-to-date voter is asked to take over at once. */
  transferLeadership(): void {
    const { state } = this;
    const [successor] = state.log.replicas.voters
      .filter((voter) => voter.identity !== state.identity)
      .sort((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a));
    const { self: from, term } = state;
    if (successor !== undefined) state.send(successor, { type: 'elect-now', from, term });
    state.stepDown();
  }

  /** Replicates an entry. `callback` is called when it is applied here. */
  append(payload: EntryPayload, callback?: ProposalCallback): void {
    const { state } = this;
    const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, payload };
    if (callback !== undefined) this.applied.trackProposal(entry.index, entry.term, callback);
    state.log.merge([entry]);
    state.writeEntries([entry], () => this.advanceCommit());
    this.peers.sendToAll();
  }

  /** Removes the replicas of a name. @returns false when that is not possible now */
  removeReplica(name: string): boolean {
    const next = withoutReplica(this.state.log.replicas, name);
    if (next === undefined || !this.mayChangeReplicas()) return false;
    this.appendReplicas(next);
    return true;
  }

  /** Lets a replica in as a learner; a follower passes the request on to the leader it knows. */
  onJoinRequest(request: JoinRequest): void {
    const { leader, role } = this.state;
    if (role !== 'leader' && leader !== undefined && leader.identity !== request.from.identity) {
      this.state.send(leader, request);
      return;
    }
    if (!this.mayChangeReplicas()) return;
    const next = withLearner(this.state.log.replicas, request.from);
    if (next !== undefined) this.appendReplicas(next);
  }

  onAppendResponse(response: AppendResponse): void {
    const { state } = this;
    if (state.role !== 'leader' || response.term !== state.term) return;
    const progress = this.peers.onResponse(response);
    if (response.success) this.advanceCommit();
    this.confirmReads();
    this.peers.sendIfBehind(response.from.identity, progress);
  }

  /**
   * Calls back with an index that is safe to read at once a majority has confirmed this leader;
   * with undefined when that fails.
   */
  confirmRead(callback: (index: number | undefined) => void): void {
    const { state } = this;
    if (!state.hasCommittedInTerm) {
      callback(undefined);
      return;
    }
    this.beginRound();
    this.reads.addUnconfirmed(this.peers.round, state.commitIndex, callback);
    this.peers.sendToAll();
    this.confirmReads();
  }

  private endLeadership(): void {
    this.timer?.cancel();
    this.peers.clear();
    this.confirmedSince = undefined;
    this.reads.failUnconfirmed();
    this.applied.failProposals({ type: 'unknown' });
  }

  private matchIndexOf({ identity }: Replica): number {
    return this.peers.progressOf(identity).matchIndex;
  }

  /**
   * The first entry of a term, which a leader commits to learn what was acknowledged before it. In an empty log it is the
   * replica set, so that every log holds the same one; in any other, in a set of one replica too, it is a `noop`.
   */
  private firstPayload(): EntryPayload {
    const { log } = this.state;
    if (log.lastIndex === 0) return { type: 'replicas', replicas: log.replicas };
    return { type: 'noop' };
  }

  private heartbeat(): void {
    const { state } = this;
    if (!state.isActive || state.role !== 'leader') return;
    if (!this.hasQuorum()) {
      state.stepDown();
      return;
    }
    this.beginRound();
    this.peers.sendToAll();
    this.confirmReads();
    this.changeReplicas();
    const intervalMs = state.options.electionTimeoutMs / HEARTBEATS_PER_TIMEOUT;
    this.timer = state.options.clock.schedule(intervalMs, () => this.heartbeat());
  }

  /** Whether a majority has answered within an election timeout. */
  protected hasQuorum(): boolean {
    const { state } = this;
    const since = state.now - state.options.electionTimeoutMs;
    const answered = state.log.replicas.voters.filter(
      ({ identity }) =>
        identity === state.identity || this.peers.progressOf(identity).lastResponseAt >= since,
    );
    return isMajority(answered.length, state.log.replicas);
  }

  /** Commits what a majority has on disk. Only entries of the leader's own term are counted. */
  private advanceCommit(): void {
    const { state } = this;
    if (state.role !== 'leader') return;
    const index = majorityValue(state.log.replicas, (identity) =>
      identity === state.identity ? state.syncedIndex : this.peers.progressOf(identity).matchIndex,
    );
    if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return;
    this.applied.commitUpTo(index);
    const wasRemoved = !state.isVoter && state.commitIndex >= state.log.replicasIndex;
    if (wasRemoved) state.stepDown();
  }

  /**
   * A majority that answers the round confirms the leader as of now: no other one had been elected by then, so nothing
   * unknown here had been acknowledged.
   */
  private beginRound(): void {
    const round = this.peers.beginRound();
    const { state, reads } = this;
    // Before its first commit a leader does not know yet what was acknowledged.
    if (!state.hasCommittedInTerm) return;
    const { now, commitIndex } = state;
    reads.addUnconfirmed(round, commitIndex, (index) => {
      if (index !== undefined) this.confirmedSince = now;
    });
  }

  private confirmReads(): void {
    const { state } = this;
    const confirmedRound = majorityValue(state.log.replicas, (identity) =>
      identity === state.identity
        ? this.peers.round
        : this.peers.progressOf(identity).answeredRound,
    );
    this.reads.onConfirmed(confirmedRound);
  }

  /** A set may be changed once the last change, and an entry of this term, are committed. */
  private mayChangeReplicas(): boolean {
    const { state } = this;
    const isLastChangeCommitted = state.log.replicasIndex <= state.commitIndex;
    return state.role === 'leader' && state.hasCommittedInTerm && isLastChangeCommitted;
  }

  private changeReplicas(): void {
    if (!this.mayChangeReplicas()) return;
    const { state } = this;
    const unresponsiveMs = UNRESPONSIVE_TIMEOUTS * state.options.electionTimeoutMs;
    const next = nextReplicaChange(state.log.replicas, {
      hasCaughtUp: (identity) => this.hasCaughtUp(identity),
      isUnresponsive: (identity) =>
        identity !== state.identity &&
        state.now - this.peers.progressOf(identity).lastResponseAt > unresponsiveMs,
      maxVoters: state.options.maxVoters ?? Infinity,
    });
    if (next !== undefined) this.appendReplicas(next);
  }

  /** Whether the replica has everything that is committed on its disk: a voter without it could not be counted on. */
  protected hasCaughtUp(identity: string): boolean {
    return this.peers.progressOf(identity).matchIndex >= this.state.commitIndex;
  }

  private appendReplicas(replicas: ReplicaSet): void {
    this.append({ type: 'replicas', replicas });
  }
}
