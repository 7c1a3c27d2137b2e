/**
 * The answer of `GET /v1/status`, as control builds it and operators' commands show it: the accepted revision, the
 * distributed one (held by the replica that answers), the one in force on every member, and the state of replication.
 * Types alone; a JSON body, so what is undefined is absent from it.
 */
import type { ReplicaPhase } from '../consensus/replica-host.js';

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

/** Members that apply one revision. */
export interface RevisionHolders {
  readonly revision: number;
  readonly count: number;
}

/** A member that does not apply the newest revision. */
export interface LaggingMember {
  readonly id: string;
  readonly zone: string;
  readonly appliedRevision: number;
}

/** The answer of `GET /v1/status`. */
export interface StatusReport {
  readonly replicaId: string;
  readonly replication: LogStatus;
  /** Revision up to which changes were accepted, as far as this replica knows. */
  readonly acceptedRevision: number;
  /** Revision that this replica hands out. */
  readonly distributedRevision: number;
  /** Lowest revision that any member applies; equals the accepted one when it is in force. */
  readonly inForceRevision: number;
  readonly memberCount: number;
  readonly holders: readonly RevisionHolders[];
  /** Members that lag; the first 50 of them. */
  readonly lagging: readonly LaggingMember[];
}
