/**
 * One replica of the log. Pure: clock, random source, storage and transport are injected, and the
 * same class runs in the control program and in the simulator. See `raft-types.ts` for the source.
 * Hands each message to the part that decides on it, and owns the reads that this replica has asked the leader about.
 */
import { AppliedLog } from './applied-log.js';
import { Election } from './election.js';
import { Leadership } from './leadership.js';
import { LogReceiver } from './log-receiver.js';
import { PendingReads, type ReadCallback } from './pending-reads.js';
import type { ProposalCallback, RaftOptions, RaftStatus } from './raft-options.js';
import { RaftState } from './raft-state.js';
import type {
  ProbeFinding,
  ProbeRequest,
  RaftMessage,
  ReadRequest,
  ReadResponse,
} from './raft-types.js';
import type { PersistedState } from '../storage/persisted-state.js';

/** The parts of a replica that decide who leads and what a leader may answer. */
export interface RaftParts {
  readonly Election: typeof Election;
  readonly Leadership: typeof Leadership;
}

const RAFT_PARTS: RaftParts = { Election, Leadership };

export class RaftNode {
  private readonly state: RaftState;
  private readonly applied: AppliedLog;
  private readonly election: Election;
  private readonly leadership: Leadership;
  private readonly receiver: LogReceiver;
  private readonly reads = new PendingReads();
  private readonly forwardedReads = new Map<number, ReadCallback>();
  private nextReadId = 1;

  /** @param parts replaced in the simulator alone, to show what one safeguard in them is for */
  constructor(options: RaftOptions, persisted: PersistedState, parts = RAFT_PARTS) {
    this.state = new RaftState(options, persisted);
    this.applied = new AppliedLog(this.state, (index) => this.reads.onApplied(index));
    this.leadership = new parts.Leadership(this.state, this.applied, this.reads);
    this.election = new parts.Election(this.state, () => this.leadership.becomeLeader());
    this.receiver = new LogReceiver(this.state, this.applied, this.election);
  }

  /** Begins to take part. */
  start(): void {
    this.election.resetTimer();
  }

  /** Takes no further part. A leader hands over; proposals under way end as unknown. */
  stop(): void {
    if (this.state.role === 'leader') this.leadership.transferLeadership();
    this.state.stopped = true;
    this.election.stop();
  }

  status(): RaftStatus {
    const { role, term, leader, commitIndex, failed, log } = this.state;
    return {
      role,
      term,
      leader,
      commitIndex,
      appliedIndex: this.applied.appliedIndex,
      lastIndex: log.lastIndex,
      replicas: log.replicas,
      replicasSettled: log.replicasIndex <= commitIndex,
      failed,
      confirmedAt: this.leadership.confirmedAt,
    };
  }

  /** Replicates a command; calls back once it is applied here, or when that can't be known. */
  propose(data: Uint8Array, callback: ProposalCallback): void {
    const { state } = this;
    if (state.failed) callback({ type: 'failed-storage' });
    else if (state.role === 'leader') this.leadership.append({ type: 'command', data }, callback);
    else callback({ type: 'not-leader', leader: state.leader });
  }

  /** Removes the replicas of a name. @returns false when that is not possible now */
  removeReplica(name: string): boolean {
    return this.state.role === 'leader' && this.leadership.removeReplica(name);
  }

  /**
   * Calls back with true once everything committed before this call is applied here, as a majority
   * confirms; with false when no leader could confirm it.
   */
  readBarrier(callback: ReadCallback): void {
    const { state } = this;
    if (state.role === 'leader') {
      this.leadership.confirmRead((index) => this.onReadIndex(index, callback));
      return;
    }
    if (state.leader === undefined || !state.isActive) {
      callback(false);
      return;
    }
    const readId = this.nextReadId;
    this.nextReadId += 1;
    this.forwardedReads.set(readId, callback);
    const { self: from, term } = state;
    state.send(state.leader, { type: 'read-request', from, term, readId });
    state.options.clock.schedule(state.options.electionTimeoutMs, () => {
      if (this.forwardedReads.delete(readId)) callback(false);
    });
  }

  /** Handles a message from another replica. */
  receive(message: RaftMessage): void {
    if (!this.state.isActive) return;
    const isNewer = message.term > this.state.term;
    if (isNewer && !carriesPreVoteTerm(message)) this.state.adoptTerm(message.term);
    switch (message.type) {
      case 'vote-request':
        this.election.onVoteRequest(message);
        return;
      case 'vote-response':
        this.election.onVoteResponse(message);
        return;
      case 'elect-now':
        this.election.onElectNow(message);
        return;
      case 'append-request':
        this.receiver.onAppendRequest(message);
        return;
      case 'snapshot-request':
        this.receiver.onSnapshotRequest(message);
        return;
      case 'append-response':
        this.leadership.onAppendResponse(message);
        return;
      case 'join-request':
        this.leadership.onJoinRequest(message);
        return;
      case 'read-request':
        this.onReadRequest(message);
        return;
      case 'read-response':
        this.onReadResponse(message);
        return;
      case 'probe-request':
        this.onProbeRequest(message);
        return;
      case 'probe-response':
      // Only a replica with an empty disk waits for these.
    }
  }

  private onReadIndex(index: number | undefined, callback: ReadCallback): void {
    if (index === undefined) callback(false);
    else this.reads.addWaiting(index, this.applied.appliedIndex, callback);
  }

  private onReadRequest(request: ReadRequest): void {
    const { state } = this;
    const respond = (readIndex: number | undefined): void => {
      const { self: from, term } = state;
      const { readId } = request;
      state.send(request.from, { type: 'read-response', from, term, readId, readIndex });
    };
    if (state.role === 'leader') this.leadership.confirmRead(respond);
    else respond(undefined);
  }

  private onReadResponse(response: ReadResponse): void {
    const callback = this.forwardedReads.get(response.readId);
    if (callback === undefined) return;
    this.forwardedReads.delete(response.readId);
    this.onReadIndex(response.readIndex, callback);
  }

  private onProbeRequest(request: ProbeRequest): void {
    const { self: from, term, log } = this.state;
    // A replica that waits to be let in knows nothing to tell.
    if (log.replicas.voters.length === 0) return;
    const found: ProbeFinding =
      log.lastIndex === 0 ? { type: 'formed', replicas: log.replicas } : { type: 'log' };
    this.state.send(request.from, { type: 'probe-response', from, term, found });
  }
}

/** Messages whose term says nothing about the sender's own. */
function carriesPreVoteTerm(message: RaftMessage): boolean {
  if (message.type === 'vote-request') return message.preVote;
  return message.type === 'vote-response' && message.preVote && message.granted;
}
