/** What a replica of the log is made of, how proposals on it end, and what its status shows. Types alone. */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { RaftTransport, StateMachine } from './raft-types.js';
import type { RaftStorage, Replica, ReplicaSet } from '../storage/persisted-state.js';

/**
 * Roles of a replica of the log. A `follower` here is a replica that does not lead; processes that follow the configuration
 * are in `src/follower`. A `pre-candidate` asks whether it would be elected, in no new term.
 */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

export interface RaftOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly storage: RaftStorage;
  readonly transport: RaftTransport;
  readonly stateMachine: StateMachine;
  readonly self: Replica;
  /** Shortest time without a leader before an election, in milliseconds; the longest is twice it. */
  readonly electionTimeoutMs: number;
  /** Origins to ask for membership while this replica is in no replica set. */
  readonly contacts: readonly string[];
  /** Entries applied between two snapshots. Default 1,000. */
  readonly snapshotInterval?: number | undefined;
  /**
   * Most voters of the set. A learner beyond them stands by, and takes the place of a voter that has
   * fallen silent. Default: no bound.
   */
  readonly maxVoters?: number | undefined;
  /** A write or sync failed: this replica takes no further part. */
  readonly onStorageFailure: (error: Error) => void;
}

/** How a proposal ended. */
export type ProposalOutcome =
  | { readonly type: 'applied'; readonly result: unknown }
  | { readonly type: 'not-leader'; readonly leader: Replica | undefined }
  /** Leadership was lost before the entry was committed: it may or may not be applied later. */
  | { readonly type: 'unknown' }
  | { readonly type: 'failed-storage' };

export type ProposalCallback = (outcome: ProposalOutcome) => void;

/** A replica's state, for `status` and for checks. */
export interface RaftStatus {
  readonly role: RaftRole;
  readonly term: number;
  readonly leader: Replica | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly replicas: ReplicaSet;
  /** Whether `replicas` is committed, that is, whether a change of it is finished. */
  readonly replicasSettled: boolean;
  readonly failed: boolean;
  /**
   * On a leader: monotonic milliseconds before which every acknowledged change is applied here, as a majority has
   * confirmed since. Undefined elsewhere.
   */
  readonly confirmedAt: number | undefined;
}
