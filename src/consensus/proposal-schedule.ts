/**
 * Decides when a bootstrapping replica proposes a replica set: soon, but with as many replicas as can be expected, and
 * rarely at the same time as others, since competing proposals delay each other.
 */
import type { RandomSource } from '../common/random.js';

// All in election timeouts.
/** Wait for further replicas once all acceptors are known: each would have to be added by itself later. */
const SETTLE_TIMEOUTS = 0.25;
/** Wait for acceptors that don't answer, once a quorum does. */
const MISSING_ACCEPTOR_TIMEOUTS = 1;
/** Minimum and random part of the wait after the last step of a ballot. */
const MIN_BACKOFF_TIMEOUTS = 0.25;
const BACKOFF_SPREAD_TIMEOUTS = 0.25;
/** Added to it for all but the first in order, so that it is not interrupted. */
const LATER_PROPOSER_TIMEOUTS = 0.75;
/** Ballots after which the wait doubles with each further one: they take longer than the wait, on slow disks. */
const BALLOTS_BEFORE_GROWTH = 4;
const MAX_GROWTH = 8;

/** What is known about the other replicas. */
export interface FormationView {
  readonly isQuorumAnswering: boolean;
  readonly hasAllAcceptors: boolean;
  readonly hasAllVoters: boolean;
  /** Whether this replica proposes first: no acceptor that answers has a lower origin. */
  readonly isFirst: boolean;
  /** Whether a proposal of this replica is under way. */
  readonly isProposing: boolean;
}

export class ProposalSchedule {
  /** Time since which a quorum answers. */
  private quorumSince: number | undefined;
  /** Time since which all acceptors are known. */
  private allSince: number | undefined;
  /** Time of the last step of a ballot, or since which there is reason for one; undefined if there is none. */
  private waitingSince: number | undefined;
  private drawn = 0;
  /** Number of ballots seen, here and elsewhere. */
  private ballots = 0;

  constructor(
    private readonly random: RandomSource,
    private readonly electionTimeoutMs: number,
  ) {}

  /** Whether to propose now. */
  isDue(view: FormationView, now: number): boolean {
    if (!view.isQuorumAnswering) {
      this.quorumSince = undefined;
      return false;
    }
    this.quorumSince ??= now;
    if (view.hasAllAcceptors) this.allSince ??= now;
    if (view.isProposing || (!view.hasAllVoters && !this.hasWaited(now))) return false;
    if (this.waitingSince === undefined) this.onProgress(now);
    return now >= this.waitingSince! + this.waitMs(view.isFirst);
  }

  /** Postpones the next proposal, because a ballot has begun. */
  onBallot(now: number): void {
    this.ballots += 1;
    this.onProgress(now);
  }

  /** Postpones the next proposal, because an acceptor has agreed to the ballot under way. */
  onProgress(now: number): void {
    this.waitingSince = now;
    this.drawn = this.random.next();
  }

  private hasWaited(now: number): boolean {
    const sinceQuorum = (now - this.quorumSince!) / this.electionTimeoutMs;
    const sinceAll = (now - (this.allSince ?? now)) / this.electionTimeoutMs;
    return sinceQuorum >= MISSING_ACCEPTOR_TIMEOUTS || sinceAll >= SETTLE_TIMEOUTS;
  }

  private waitMs(isFirst: boolean): number {
    if (isFirst && this.ballots === 0) return 0;
    const order = isFirst ? 0 : LATER_PROPOSER_TIMEOUTS;
    const timeouts = order + MIN_BACKOFF_TIMEOUTS + BACKOFF_SPREAD_TIMEOUTS * this.drawn;
    const growth = 2 ** Math.max(0, this.ballots - BALLOTS_BEFORE_GROWTH);
    return this.electionTimeoutMs * timeouts * Math.min(growth, MAX_GROWTH);
  }
}
