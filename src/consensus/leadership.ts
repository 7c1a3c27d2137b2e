/**
 * The leader's side of Raft: appends entries, sends heartbeats, advances the commit index, confirms leadership for
 * reads and changes the replica set.
 */
import type { Timer } from '../common/clock.js';
import type { AppliedLog } from './applied-log.js';
import { HeldProposals } from './held-proposals.js';
import { bearableLosses } from './loss-tolerance.js';
import { isMajority, majorityValue } from './peer-progress.js';
import { PeerReplication } from './peer-replication.js';
import { PendingReads } from './pending-reads.js';
import type { ProposalCallback } from './raft-options.js';
import type { RaftState } from './raft-state.js';
import type { AppendResponse, JoinRequest } from './raft-types.js';
import type { EntryPayload, LogEntry, Replica, ReplicaSet } from '../storage/persisted-state.js';
import { nextReplicaChange, withLearner, withoutReplica } from './replica-changes.js';

/** Heartbeats per election timeout, so that a few lost messages don't trigger an election. */
const HEARTBEATS_PER_TIMEOUT = 5;
/** Heartbeat intervals within which an answering replica has responded. */
const ANSWERING_HEARTBEATS = 1.5;
/** Election timeouts without a response after which a replica counts as unresponsive. Longer than an election. */
const UNRESPONSIVE_TIMEOUTS = 3;

export class Leadership {
  private readonly peers: PeerReplication;
  private timer: Timer | undefined;
  /** Start of the newest heartbeat round that a majority has answered; undefined before the first. */
  private confirmedSince: number | undefined;
  private lastTermBefore = 0;
  private readonly heldProposals: HeldProposals;
  /** Replicas that asked to join while the set could not be changed, by name. */
  private readonly pendingJoins = new Map<string, Replica>();

  constructor(
    protected readonly state: RaftState,
    private readonly applied: AppliedLog,
    private readonly reads: PendingReads,
  ) {
    this.peers = new PeerReplication(state);
    this.heldProposals = new HeldProposals(state, (data, callback) =>
      this.append({ type: 'command', data }, callback),
    );
    state.onStepDown(() => this.endLeadership());
  }

  /** See `RaftStatus.confirmedAt`. */
  get confirmedAt(): number | undefined {
    return this.state.role === 'leader' ? this.confirmedSince : undefined;
  }

  /** See `RaftStatus.previousTerm`. */
  get previousTerm(): number | undefined {
    return this.state.role === 'leader' ? this.lastTermBefore : undefined;
  }

  /** See `RaftStatus.bearableLosses`. */
  get bearableLosses(): number | undefined {
    const { role, log } = this.state;
    if (role !== 'leader') return undefined;
    const { voters } = log.replicas;
    const responsive = voters.filter(({ identity }) => !this.isUnresponsive(identity));
    return bearableLosses(voters.length, responsive.length);
  }

  /** Starts leading after an election was won. */
  becomeLeader(): void {
    const { state } = this;
    state.role = 'leader';
    state.leader = state.self;
    this.peers.clear();
    this.lastTermBefore = state.log.lastTerm;
    this.heldProposals.begin();
    this.append(this.firstPayload());
    this.heartbeat();
  }

  /** Steps down and asks the most up-to-date voter to start an election at once. */
  transferLeadership(): void {
    const { state } = this;
    const [successor] = state.log.replicas.voters
      .filter((voter) => voter.identity !== state.identity)
      .sort((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a));
    const { self: from, term } = state;
    if (successor !== undefined) state.send(successor, { type: 'elect-now', from, term });
    state.stepDown();
  }

  /** Proposes a command. The first ones wait until the set bears the tolerated losses. */
  propose(data: Uint8Array, callback: ProposalCallback): void {
    this.heldProposals.add(data, callback);
  }

  /** Appends an entry to the log and replicates it. `callback` receives the outcome. */
  private append(payload: EntryPayload, callback?: ProposalCallback): void {
    const { state } = this;
    const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, payload };
    if (callback !== undefined) this.applied.trackProposal(entry.index, entry.term, callback);
    state.log.merge([entry]);
    state.writeEntries([entry], () => this.advanceCommit());
    this.peers.sendToAll();
  }

  /** Removes all replicas with the given name. @returns false if that is not possible now */
  removeReplica(name: string): boolean {
    const next = withoutReplica(this.state.log.replicas, name);
    if (next === undefined || !this.mayChangeReplicas()) return false;
    this.appendReplicas(next);
    return true;
  }

  /** Adds the sender as a learner. A follower forwards the request to the leader. */
  onJoinRequest(request: JoinRequest): void {
    const { leader, role } = this.state;
    if (role !== 'leader' && leader !== undefined && leader.identity !== request.from.identity) {
      this.state.send(leader, request);
      return;
    }
    if (role !== 'leader') return;
    this.pendingJoins.set(request.from.name, request.from);
    this.changeReplicas();
  }

  onAppendResponse(response: AppendResponse): void {
    const { state } = this;
    if (state.role !== 'leader' || response.term !== state.term) return;
    const progress = this.peers.onResponse(response);
    if (response.success) this.advanceCommit();
    this.confirmReads();
    this.changeReplicas();
    this.peers.sendIfBehind(response.from.identity, progress);
  }

  /**
   * Calls `callback` with a read index once a majority has confirmed this leader; with undefined if leadership can't be
   * confirmed.
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
    this.pendingJoins.clear();
    this.reads.failUnconfirmed();
    this.heldProposals.end();
    this.applied.failProposals({ type: 'unknown' });
  }

  private matchIndexOf({ identity }: Replica): number {
    return this.peers.progressOf(identity).matchIndex;
  }

  /**
   * Payload of the first entry of a term. A leader must commit an entry of its own term before its commit index covers
   * earlier terms. In an empty log the entry holds the replica set, otherwise it is a `noop`.
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

  /** Check quorum: whether a majority of voters has responded within the election timeout. */
  protected hasQuorum(): boolean {
    const { state } = this;
    const since = state.now - state.options.electionTimeoutMs;
    const answered = state.log.replicas.voters.filter(
      ({ identity }) =>
        identity === state.identity || this.peers.progressOf(identity).lastResponseAt >= since,
    );
    return isMajority(answered.length, state.log.replicas);
  }

  /**
   * Commits entries that a majority has synced. Only an entry of the current term is committed by counting replicas;
   * earlier entries are committed along with it.
   */
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
   * Starts a heartbeat round. When a majority has answered it, no other leader can have been elected before the round
   * started, so every change acknowledged until then is in this leader's log.
   */
  private beginRound(): void {
    const round = this.peers.beginRound();
    const { state, reads } = this;
    // Before its first commit in this term, the commit index may miss entries acknowledged by an earlier leader.
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

  /** Whether the replica set may be changed: the previous change and an entry of this term must be committed. */
  private mayChangeReplicas(): boolean {
    const { state } = this;
    const isLastChangeCommitted = state.log.replicasIndex <= state.commitIndex;
    return state.role === 'leader' && state.hasCommittedInTerm && isLastChangeCommitted;
  }

  private changeReplicas(): void {
    if (!this.mayChangeReplicas()) return;
    const { state } = this;
    const next =
      this.nextJoin() ??
      nextReplicaChange(state.log.replicas, {
        hasCaughtUp: (identity) => this.hasCaughtUp(identity),
        isUnresponsive: (identity) => this.isUnresponsive(identity),
        isAnswering: (identity) => this.isAnswering(identity),
        maxVoters: state.options.maxVoters ?? Infinity,
      });
    if (next !== undefined) this.appendReplicas(next);
  }

  /** Returns the set with the next replica that asked to join; undefined if all of them are in it. */
  private nextJoin(): ReplicaSet | undefined {
    for (const [name, replica] of this.pendingJoins) {
      this.pendingJoins.delete(name);
      const next = withLearner(this.state.log.replicas, replica);
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /** Whether the replica has answered one of the last heartbeats. */
  protected isAnswering(identity: string): boolean {
    const { state } = this;
    const { answeredRound, lastResponseAt } = this.peers.progressOf(identity);
    const maxAgeMs =
      (ANSWERING_HEARTBEATS * state.options.electionTimeoutMs) / HEARTBEATS_PER_TIMEOUT;
    return (
      identity === state.identity || (answeredRound > 0 && state.now - lastResponseAt <= maxAgeMs)
    );
  }

  private isUnresponsive(identity: string): boolean {
    const { state } = this;
    const unresponsiveMs = UNRESPONSIVE_TIMEOUTS * state.options.electionTimeoutMs;
    return (
      identity !== state.identity &&
      state.now - this.peers.progressOf(identity).lastResponseAt > unresponsiveMs
    );
  }

  /** Whether the replica has synced all committed entries. A learner must do so before it becomes a voter. */
  protected hasCaughtUp(identity: string): boolean {
    return this.peers.progressOf(identity).matchIndex >= this.state.commitIndex;
  }

  private appendReplicas(replicas: ReplicaSet): void {
    this.append({ type: 'replicas', replicas });
    this.heldProposals.releaseIfComplete();
  }
}
