/** What the control server needs from replication: ordered commands and consistent reads. */
import type { ReplicaPhase } from '../consensus/replica-host.js';
import type {
  DeclareCommand,
  DeclareResult,
  ResourceCommand,
  ResourceResult,
} from './resource-store.js';

/** Why a command or a read could not be served by this replica. */
export type LogRefusal =
  /** Another replica leads; `leaderOrigin` when it is known. */
  | { readonly type: 'not-leader'; readonly leaderOrigin: string | undefined }
  /** No quorum answered in time: a command may or may not take effect later. */
  | { readonly type: 'no-quorum' }
  /** The disk failed; nothing is accepted any more. */
  | { readonly type: 'storage-failed' };

/** The answer to a proposal. */
export type ProposeResult<Result> =
  | { readonly type: 'applied'; readonly result: Result }
  | { readonly type: 'refused'; readonly refusal: LogRefusal };

/** The state of replication at one replica, for `status`. */
export interface LogStatus {
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  /** How far the replica has come: `running` when it takes part. */
  readonly phase: ReplicaPhase;
  readonly term: number;
  readonly leaderId: string | undefined;
  /** Where the leader serves its API. */
  readonly leaderOrigin: string | undefined;
  /** Where every replica of the set serves its API. */
  readonly origins: readonly string[];
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Whether the last change of the replica set is committed, that is, a repair is finished. */
  readonly replicasSettled: boolean;
  /** Set when the replica cannot take part fully, with the reason. */
  readonly problem: string | undefined;
  /**
   * On a leader: milliseconds ago up to which every acknowledged change is applied here, as a majority has confirmed
   * since. Undefined elsewhere.
   */
  readonly confirmedAgeMs: number | undefined;
}

export interface CommandLog {
  /** Replicates a command and applies it. */
  propose(command: ResourceCommand): Promise<ProposeResult<ResourceResult>>;
  propose(command: DeclareCommand): Promise<ProposeResult<DeclareResult>>;
  /**
   * Resolves when the local state includes everything accepted before the call, as a quorum
   * confirms. Resolves with a refusal when that cannot be had.
   */
  readBarrier(): Promise<LogRefusal | undefined>;
  status(): LogStatus;
  /** Removes the replicas of a name. @returns false when this replica can't do that now */
  removeReplica(name: string): boolean;
  close(): Promise<void>;
}
