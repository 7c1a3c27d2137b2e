/** Replication progress of a single peer, and majority calculations over a replica set. */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';

/** Replication state of one peer, as known to the leader. */
export interface PeerProgress {
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index known to be synced to the peer's disk. */
  matchIndex: number;
  /** Highest heartbeat round that the peer has answered. */
  answeredRound: number;
  /** Time of the last response, in monotonic milliseconds. */
  lastResponseAt: number;
  /** Time at which a snapshot was last sent, in monotonic milliseconds. */
  snapshotSentAt: number;
}

/** Returns all replicas of a set, voters first. */
export function allReplicas(set: ReplicaSet): Replica[] {
  return [...set.voters, ...set.learners];
}

/** Returns the smallest majority of so many voters. */
export function majorityOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Whether `count` voters form a majority of the set. */
export function isMajority(count: number, set: ReplicaSet): boolean {
  return count >= majorityOf(set.voters.length);
}

/** Returns the highest value that a majority of voters has reached; 0 for an empty set. */
export function majorityValue(set: ReplicaSet, valueOf: (identity: string) => number): number {
  const values = set.voters.map((voter) => valueOf(voter.identity)).sort((a, b) => b - a);
  return values[Math.floor(values.length / 2)] ?? 0;
}
