/**
 * Elections with pre-vote: decides when to stand, whom to vote for, and when a majority is reached. Owns the election timer and the
 * votes of the election under way; term and vote are in the shared state, on disk before a vote is sent.
 */
import type { Timer } from '../common/clock.js';
import { isMajority } from './peer-progress.js';
import type { RaftState } from './raft-state.js';
import type { ElectNow, VoteRequest, VoteResponse } from './raft-types.js';

/** After this many timeouts in a row without a leader, a replica may have been put out of its set. */
const TIMEOUTS_BEFORE_REJOIN = 3;

export class Election {
  private timer: Timer | undefined;
  /** Timeouts in a row without a leader. */
  private timeoutsWithoutLeader = 0;
  private votes = new Set<string>();

  constructor(
    protected readonly state: RaftState,
    private readonly onElected: () => void,
  ) {}

  /** Waits a random time of one to two election timeouts before standing. */
  resetTimer(): void {
    this.timer?.cancel();
    const { options } = this.state;
    const delayMs = options.electionTimeoutMs * (1 + options.random.next());
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

  /** The leader stops and has chosen this replica as the one to follow it. */
  onElectNow(message: ElectNow): void {
    const { state } = this;
    const isFromLeader = state.leader?.identity === message.from.identity;
    if (isFromLeader && message.term === state.term && state.isVoter) this.becomeCandidate();
  }

  private onTimeout(): void {
    if (!this.state.isActive) return;
    this.resetTimer();
    if (this.state.role === 'leader') {
      this.timeoutsWithoutLeader = 0;
      return;
    }
    this.state.leader = undefined;
    this.timeoutsWithoutLeader += 1;
    const mayBeRemoved = this.timeoutsWithoutLeader > TIMEOUTS_BEFORE_REJOIN;
    if (!this.state.isMember || mayBeRemoved) this.sendJoinRequests();
    if (this.state.isVoter) this.stand();
  }

  /** A leader was heard. */
  onLeaderMessage(): void {
    this.timeoutsWithoutLeader = 0;
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

  /** Asks first whether the others would elect this replica: one that was cut off raises no term when it returns. */
  protected stand(): void {
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
    else if (state.role === 'candidate') this.onElected();
  }

  /** Whether this replica leads, or heard from a leader within an election timeout. */
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
