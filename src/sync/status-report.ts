/**
 * The JSON response of `GET /v1/status`: the accepted, distributed and in-force revisions, and the state of replication.
 * Undefined properties are absent from the response.
 */
import type { ReplicaPhase } from '../consensus/replica-host.js';

/** The state of replication at one replica. */
export interface LogStatus {
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  /** Phase of the replica; `running` while it participates in replication. */
  readonly phase: ReplicaPhase;
  readonly term: number;
  readonly leaderId: string | undefined;
  /** Origin of the API of the leader. */
  readonly leaderOrigin: string | undefined;
  /** Origins of the APIs of all replicas in the set. */
  readonly origins: readonly string[];
  readonly commitIndex: number;
  readonly lastIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Whether the last change of the replica set is committed. */
  readonly replicasSettled: boolean;
  /** The reason why the replica cannot participate fully; undefined if it can. */
  readonly problem: string | undefined;
  /**
   * Set on a leader: all changes acknowledged up to this many milliseconds ago are applied here, as confirmed by a
   * majority.
   */
  readonly confirmedAgeMs: number | undefined;
}

/** Number of members that apply a revision. */
export interface RevisionHolders {
  readonly revision: number;
  readonly count: number;
}

/** A member that does not yet apply the newest revision. */
export interface LaggingMember {
  readonly id: string;
  readonly zone: string;
  readonly appliedRevision: number;
}

/** The response of `GET /v1/status`. */
export interface StatusReport {
  readonly replicaId: string;
  readonly replication: LogStatus;
  /** Newest accepted revision that is known to this replica. */
  readonly acceptedRevision: number;
  /** Revision that this replica distributes to followers. */
  readonly distributedRevision: number;
  /** Lowest revision that any member applies; equals the accepted revision once that is in force. */
  readonly inForceRevision: number;
  readonly memberCount: number;
  readonly holders: readonly RevisionHolders[];
  /** The first 50 lagging members. */
  readonly lagging: readonly LaggingMember[];
}
