/**
 * Leader election with pre-vote: runs the election timer, requests and grants votes, and counts the votes received.
 * Term and vote are synced to disk before a vote is granted.
 */
import type { Timer } from '../common/clock.js';
import { isMajority } from './peer-progress.js';
import type { RaftState } from './raft-state.js';
import type { ElectNow, VoteRequest, VoteResponse } from './raft-types.js';

/** After more than this many consecutive timeouts, the replica asks to join the set: it may have been removed. */
const TIMEOUTS_BEFORE_REJOIN = 3;

/** Minimum of the first timeout after the start of a replica, in election timeouts. Doubled for each further one, up to 1. */
const MIN_FIRST_TIMEOUT_FRACTION = 0.25;
/** Delay of the first election by the replica that formed the set, in election timeouts: the others have to write the set. */
const FORMED_DELAY_FRACTION = 0.02;
/** Minimum range of the random part, in election timeouts, so that few votes are split. */
const MIN_SPREAD_FRACTION = 0.5;

export class Election {
  private timer: Timer | undefined;
  /** Consecutive election timeouts without a message from a leader. */
  private timeoutsWithoutLeader = 0;
  private votes = new Set<string>();
  /**
   * Minimum delay in election timeouts. Below 1 only until a leader is known: after a restart of all replicas there is none to
   * wait for, and if there is one, pre-votes don't disrupt it.
   */
  private minTimeoutFraction = MIN_FIRST_TIMEOUT_FRACTION;

  constructor(
    protected readonly state: RaftState,
    private readonly onElected: () => void,
  ) {}

  /** Restarts the election timer with a random delay of one to two election timeouts, less after the start. */
  resetTimer(): void {
    this.timer?.cancel();
    const { options } = this.state;
    const fraction = this.minTimeoutFraction;
    const spread = Math.max(MIN_SPREAD_FRACTION, fraction) * options.random.next();
    const delayMs = options.electionTimeoutMs * (fraction + spread);
    this.timer = options.clock.schedule(delayMs, () => this.onTimeout());
  }

  /** Starts an election after a short delay instead of the first timeout: a set was formed, and has no leader yet. */
  startSoon(): void {
    const { options } = this.state;
    // The timeout that follows doubles the minimum.
    this.minTimeoutFraction = MIN_FIRST_TIMEOUT_FRACTION / 2;
    const delayMs = options.electionTimeoutMs * FORMED_DELAY_FRACTION;
    this.timer = options.clock.schedule(delayMs, () => this.onTimeout());
  }

  stop(): void {
    this.timer?.cancel();
  }

  onVoteRequest(request: VoteRequest): void {
    const { state } = this;
    const isUpToDate = state.log.isUpToDate(request.lastIndex, request.lastTerm);
    if (request.preVote) {
      const granted = request.term > state.term && isUpToDate && !this.hasRecentLeader();
      this.respond(request, granted);
      return;
    }
    const canVote = state.votedFor === '' || state.votedFor === request.from.identity;
    if (request.term < state.term || !canVote || !isUpToDate) {
      this.respond(request, false);
      return;
    }
    state.votedFor = request.from.identity;
    this.resetTimer();
    const { term } = state;
    state.saveHardState(() => {
      if (state.term === term) this.respond(request, true);
    });
  }

  onVoteResponse(response: VoteResponse): void {
    const { state } = this;
    const expectedRole = response.preVote ? 'pre-candidate' : 'candidate';
    const expectedTerm = response.preVote ? state.term + 1 : state.term;
    if (!response.granted || state.role !== expectedRole) return;
    if (response.term !== expectedTerm) return;
    this.votes.add(response.from.identity);
    this.countVotes();
  }

  /** Starts an election at once, because the leader is shutting down and chose this replica as its successor. */
  onElectNow(message: ElectNow): void {
    const { state } = this;
    const isFromLeader = state.leader?.identity === message.from.identity;
    if (isFromLeader && message.term === state.term && state.isVoter) this.becomeCandidate();
  }

  private onTimeout(): void {
    if (!this.state.isActive) return;
    this.minTimeoutFraction = Math.min(1, 2 * this.minTimeoutFraction);
    this.resetTimer();
    if (this.state.role === 'leader') {
      this.timeoutsWithoutLeader = 0;
      return;
    }
    this.state.leader = undefined;
    this.timeoutsWithoutLeader += 1;
    const mayBeRemoved = this.timeoutsWithoutLeader > TIMEOUTS_BEFORE_REJOIN;
    if (!this.state.isMember || mayBeRemoved) this.sendJoinRequests();
    if (this.state.isVoter) this.startElection();
  }

  /** Resets the election timeout after a message from the leader. */
  onLeaderMessage(): void {
    this.timeoutsWithoutLeader = 0;
    this.minTimeoutFraction = 1;
    this.resetTimer();
  }

  private sendJoinRequests(): void {
    const { state } = this;
    const { self: from, term } = state;
    const origins = new Set([...state.options.contacts, ...state.peers.map((peer) => peer.origin)]);
    for (const origin of origins) {
      state.send({ origin, identity: '' }, { type: 'join-request', from, term });
    }
  }

  /** Starts with a pre-vote, so that a replica that was partitioned does not disrupt the leader with a higher term. */
  protected startElection(): void {
    this.requestVotes('pre-candidate');
  }

  protected becomeCandidate(): void {
    const { state } = this;
    state.term += 1;
    state.votedFor = state.identity;
    state.role = 'candidate';
    state.leader = undefined;
    const { term } = state;
    state.saveHardState(() => {
      if (state.term === term && state.role === 'candidate') this.requestVotes('candidate');
    });
  }

  private requestVotes(role: 'pre-candidate' | 'candidate'): void {
    const { state } = this;
    state.role = role;
    this.votes = new Set([state.identity]);
    const preVote = role === 'pre-candidate';
    const request: VoteRequest = {
      type: 'vote-request',
      from: state.self,
      term: preVote ? state.term + 1 : state.term,
      preVote,
      lastIndex: state.log.lastIndex,
      lastTerm: state.log.lastTerm,
    };
    for (const voter of state.log.replicas.voters) {
      if (voter.identity !== state.identity) state.send(voter, request);
    }
    this.countVotes();
  }

  private countVotes(): void {
    const { state } = this;
    const { replicas } = state.log;
    const count = replicas.voters.filter((voter) => this.votes.has(voter.identity)).length;
    if (!isMajority(count, replicas)) return;
    if (state.role === 'pre-candidate') this.becomeCandidate();
    else if (state.role === 'candidate') {
      this.minTimeoutFraction = 1;
      this.onElected();
    }
  }

  /** Whether this replica leads or received a leader's message within the election timeout. */
  private hasRecentLeader(): boolean {
    const { state } = this;
    const sinceLeaderMessageMs = state.now - state.lastLeaderMessageAt;
    return state.role === 'leader' || sinceLeaderMessageMs < state.options.electionTimeoutMs;
  }

  private respond(request: VoteRequest, granted: boolean): void {
    const { state } = this;
    const { preVote } = request;
    const term = preVote && granted ? request.term : state.term;
    state.send(request.from, { type: 'vote-response', from: state.self, term, preVote, granted });
  }
}
