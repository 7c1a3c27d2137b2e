/**
 * A Raft replica: dispatches messages to the classes that handle them and exposes proposals, reads and status. Clock,
 * random source, storage and transport are injected, so that the simulator can run the same code. See `raft-types.ts`
 * for the algorithm.
 */
import { AppliedLog } from './applied-log.js';
import { Election } from './election.js';
import { JoinRequester } from './join-requester.js';
import { Leadership } from './leadership.js';
import { LogReceiver } from './log-receiver.js';
import { ReadBatch } from './read-batch.js';
import { PendingReads, type ReadCallback } from './pending-reads.js';
import type { ProposalCallback, RaftOptions, RaftStatus } from './raft-options.js';
import { RaftState } from './raft-state.js';
import type { ProbeFinding, RaftMessage, ReadRequest, ReadResponse } from './raft-types.js';
import type { PersistedState, Replica } from '../storage/persisted-state.js';

/** Classes of a replica that the simulator can replace. */
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
  private readonly joinRequester: JoinRequester;
  private readonly reads = new PendingReads();
  private readonly readBatch: ReadBatch;
  private readonly forwardedReads = new Map<number, ReadCallback>();
  private nextReadId = 1;

  /** @param parts overridden only by the simulator, to test what happens without a safeguard such as pre-vote */
  constructor(options: RaftOptions, persisted: PersistedState, parts = RAFT_PARTS) {
    this.state = new RaftState(options, persisted);
    this.applied = new AppliedLog(this.state, (index) => this.reads.onApplied(index));
    this.leadership = new parts.Leadership(this.state, this.applied, this.reads);
    this.election = new parts.Election(this.state, () => this.leadership.becomeLeader());
    this.receiver = new LogReceiver(this.state, this.applied, this.election);
    this.joinRequester = new JoinRequester(this.state);
    this.readBatch = new ReadBatch(options.clock, options.electionTimeoutMs, (callback) =>
      this.confirmRead(callback),
    );
  }

  /**
   * Starts the election timer. A replica that is in no set yet requests to join one.
   * @param startsElection whether to start an election almost at once, because there is no leader yet
   */
  start(startsElection = false): void {
    if (startsElection) this.election.startSoon();
    else this.election.resetTimer();
    this.joinRequester.start();
  }

  /** Stops this replica. A leader first transfers leadership; pending proposals complete as `unknown`. */
  stop(): void {
    if (this.state.role === 'leader') this.leadership.transferLeadership();
    this.state.stopped = true;
    this.election.stop();
    this.joinRequester.stop();
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
      previousTerm: this.leadership.previousTerm,
      bearableLosses: this.leadership.bearableLosses,
    };
  }

  /** Proposes a command. Calls `callback` once it is applied here or its outcome can't be determined. */
  propose(data: Uint8Array, callback: ProposalCallback): void {
    const { state } = this;
    if (state.failed) callback({ type: 'failed-storage' });
    else if (state.role === 'leader') this.leadership.propose(data, callback);
    else callback({ type: 'not-leader', leader: state.leader });
  }

  /** Removes all replicas with the given name. @returns false if that is not possible now */
  removeReplica(name: string): boolean {
    return this.state.role === 'leader' && this.leadership.removeReplica(name);
  }

  /**
   * Calls `callback` with true once every entry committed before this call is applied here, which makes a following
   * read linearizable; with false if no leader could confirm its leadership.
   */
  readBarrier(callback: ReadCallback): void {
    this.readBatch.add(callback);
  }

  /** Processes a message from another replica. */
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
        this.reportState(message.from);
        return;
      case 'form-prepare':
      case 'form-accept':
        // A proposer that has not heard that a set is formed.
        if (this.hasReplicas) this.reportState(message.from);
        return;
      case 'form-promise':
      case 'form-accepted':
      case 'form-refusal':
      case 'probe-response':
      // Ignored: only a replica that is still bootstrapping uses these.
    }
  }

  private confirmRead(callback: ReadCallback): void {
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

  private get hasReplicas(): boolean {
    return this.state.log.replicas.voters.length > 0;
  }

  /** Tells a bootstrapping replica what is stored here. */
  private reportState(to: Replica): void {
    const { self: from, term } = this.state;
    const found = this.findState();
    this.state.send(to, { type: 'probe-response', from, term, found });
  }

  private findState(): ProbeFinding {
    const { log } = this.state;
    if (!this.hasReplicas) return { type: 'joining' };
    return log.lastIndex === 0 ? { type: 'formed', replicas: log.replicas } : { type: 'log' };
  }
}

/** Whether the message carries the prospective term of a pre-vote, which the sender has not adopted itself. */
function carriesPreVoteTerm(message: RaftMessage): boolean {
  if (message.type === 'vote-request') return message.preVote;
  return message.type === 'vote-response' && message.preVote && message.granted;
}
