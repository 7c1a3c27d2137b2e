/** Types for the options, the proposals and the status of a Raft replica. */
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { RaftTransport, StateMachine } from './raft-types.js';
import type { RaftStorage, Replica, ReplicaSet } from '../storage/persisted-state.js';

/**
 * Raft role of a replica. A `pre-candidate` runs a pre-vote, which does not increment the term. Not to be confused with
 * `src/follower`, which holds the processes that receive the configuration.
 */
export type RaftRole = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

export interface RaftOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly storage: RaftStorage;
  readonly transport: RaftTransport;
  readonly stateMachine: StateMachine;
  readonly self: Replica;
  /** Minimum election timeout in milliseconds. Each timeout is drawn at random between this value and twice it. */
  readonly electionTimeoutMs: number;
  /** Origins to send join requests to, in addition to the known peers. */
  readonly contacts: readonly string[];
  /** Number of entries applied between two snapshots. Default: 1,000. */
  readonly snapshotInterval?: number | undefined;
  /**
   * Maximum number of voters. Further learners are kept as spares; one of them replaces a voter that becomes
   * unresponsive. Default: unlimited.
   */
  readonly maxVoters?: number | undefined;
  /**
   * Number of replicas that may be lost at once, with their disks. The first commands wait until the set has enough voters
   * to bear that (see `held-proposals.ts`). Default: 0.
   */
  readonly lossTolerance?: number | undefined;
  /** Called when a write or sync failed. The replica processes no further messages. */
  readonly onStorageFailure: (error: Error) => void;
}

/** Outcome of a proposal. */
export type ProposalOutcome =
  | { readonly type: 'applied'; readonly result: unknown }
  | { readonly type: 'not-leader'; readonly leader: Replica | undefined }
  /** Leadership was lost before the entry was committed. The command may still be applied later. */
  | { readonly type: 'unknown' }
  | { readonly type: 'failed-storage' };

export type ProposalCallback = (outcome: ProposalOutcome) => void;

/** State of a replica, for status reports and tests. */
export interface RaftStatus {
  readonly role: RaftRole;
  readonly term: number;
  readonly leader: Replica | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly replicas: ReplicaSet;
  /** Whether the entry that set `replicas` is committed, so that no membership change is in progress. */
  readonly replicasSettled: boolean;
  readonly failed: boolean;
  /**
   * On a leader: start of the newest heartbeat round that a majority has answered, in monotonic milliseconds. Every
   * change acknowledged before it is applied here. Undefined on other replicas.
   */
  readonly confirmedAt: number | undefined;
  /**
   * On a leader: term of the newest entry from before its election. Every leader that was confirmed by a majority has
   * appended one, so none led between that term and this one.
   */
  readonly previousTerm: number | undefined;
  /** On a leader: number of replicas that can be lost now, with their disks. Undefined on other replicas. */
  readonly bearableLosses: number | undefined;
}
