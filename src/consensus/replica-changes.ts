/**
 * Computes membership changes. Voters are added and removed one at a time, so that any majority of the old set overlaps
 * with any majority of the new one.
 */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';
import { majorityOf } from './peer-progress.js';

/** What the leader knows about the replicas when it decides on a change. */
export interface ReplicaObservations {
  /** Whether the replica has synced all committed entries. */
  hasCaughtUp(identity: string): boolean;
  /** Whether the replica has not responded for several election timeouts. */
  isUnresponsive(identity: string): boolean;
  /** Whether the replica has answered one of the last heartbeats. */
  isAnswering(identity: string): boolean;
  /** Maximum number of voters. Further learners are promoted only to replace an unresponsive voter. */
  readonly maxVoters: number;
}

/** Returns the set with the replica added as a learner; undefined if its identity is already in the set. */
export function withLearner(set: ReplicaSet, replica: Replica): ReplicaSet | undefined {
  const known = [...set.voters, ...set.learners];
  if (known.some((other) => other.identity === replica.identity)) return undefined;
  // A learner with the same name is the same replica before it lost its disk.
  const learners = set.learners.filter((learner) => learner.name !== replica.name);
  return { voters: set.voters, learners: [...learners, replica] };
}

/** Returns the set without the replicas of the given name; undefined if there are none or no voter would remain. */
export function withoutReplica(set: ReplicaSet, name: string): ReplicaSet | undefined {
  const voters = set.voters.filter((voter) => voter.name !== name);
  const learners = set.learners.filter((learner) => learner.name !== name);
  const removed = voters.length + learners.length < set.voters.length + set.learners.length;
  return removed && voters.length > 0 ? { voters, learners } : undefined;
}

/**
 * Returns the replica set after the next change; undefined if no change is due. A responsive learner that has caught up
 * is promoted to voter. If it replaces a voter, that voter must be unresponsive and is removed first: the voter of the
 * same name (the same replica before it lost its disk) or, if the set is full, any unresponsive one. Waiting for the
 * learner to catch up keeps the set short of a voter only briefly.
 */
export function nextReplicaChange(
  set: ReplicaSet,
  observations: ReplicaObservations,
): ReplicaSet | undefined {
  for (const learner of set.learners) {
    const { identity, name, role } = learner;
    if (role !== 'voter' || !observations.hasCaughtUp(identity)) continue;
    if (observations.isUnresponsive(identity)) continue;
    const previousVoter = set.voters.find((voter) => voter.name === name);
    const isBelowMax = previousVoter === undefined && set.voters.length < observations.maxVoters;
    if (isBelowMax && mayGrow(set, learner, observations)) return promote(set, learner);
    const replaced =
      previousVoter ?? set.voters.find((voter) => observations.isUnresponsive(voter.identity));
    if (replaced !== undefined && observations.isUnresponsive(replaced.identity)) {
      return withoutVoter(set, replaced.identity);
    }
  }
  return undefined;
}

/**
 * Whether the present voters could still form a majority if the learner fell silent as a voter. Otherwise its promotion
 * could cost the set its majority, where its loss as a learner would not.
 */
function mayGrow(
  { voters }: ReplicaSet,
  learner: Replica,
  observations: ReplicaObservations,
): boolean {
  const answering = voters.filter(({ identity }) => observations.isAnswering(identity)).length;
  const majority = majorityOf(voters.length + 1);
  return (
    observations.isAnswering(learner.identity) && answering >= Math.min(majority, voters.length)
  );
}

function promote(set: ReplicaSet, learner: Replica): ReplicaSet {
  return {
    voters: [...set.voters, learner],
    learners: set.learners.filter((other) => other.identity !== learner.identity),
  };
}

function withoutVoter(set: ReplicaSet, identity: string): ReplicaSet {
  return {
    voters: set.voters.filter((voter) => voter.identity !== identity),
    learners: set.learners,
  };
}
