/** What a leader knows of another replica's log, and what a majority of voters is. Pure. */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';

/** One replica's progress. */
export interface PeerProgress {
  /** Next index to send. */
  nextIndex: number;
  /** Highest index known to be on the replica's disk. */
  matchIndex: number;
  /** Highest heartbeat round that the replica has answered. */
  answeredRound: number;
  /** Monotonic milliseconds of its last answer. */
  lastResponseAt: number;
  /** Monotonic milliseconds at which a snapshot was last sent. */
  snapshotSentAt: number;
}

/** Every replica of a set: voters, then learners. */
export function allReplicas(set: ReplicaSet): Replica[] {
  return [...set.voters, ...set.learners];
}

/** Whether `count` of the voters are a majority. */
export function isMajority(count: number, set: ReplicaSet): boolean {
  return count > set.voters.length / 2;
}

/** The highest value that a majority of voters has reached. */
export function majorityValue(set: ReplicaSet, valueOf: (identity: string) => number): number {
  const values = set.voters.map((voter) => valueOf(voter.identity)).sort((a, b) => b - a);
  return values[Math.floor(values.length / 2)] ?? 0;
}
