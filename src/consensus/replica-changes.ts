/**
 * Which change of the replica set the leader makes next: one replica at a time, so that any two
 * successive sets have a voter in common in every two majorities. Pure.
 */
import type { Replica, ReplicaSet } from '../storage/persisted-state.js';

/** What the decision depends on. */
export interface ReplicaObservations {
  /** Whether the replica's log has caught up with the leader's. */
  hasCaughtUp(identity: string): boolean;
  /** Whether nothing was heard of the replica for several election timeouts. */
  isUnresponsive(identity: string): boolean;
  /** Most voters of the set; a learner beyond them waits until one falls silent. */
  readonly maxVoters: number;
}

/** Adds a replica as a learner; undefined when the identity is in the set already. */
export function withLearner(set: ReplicaSet, replica: Replica): ReplicaSet | undefined {
  const known = [...set.voters, ...set.learners];
  if (known.some((other) => other.identity === replica.identity)) return undefined;
  // A learner of the same name is an earlier disk of the same machine.
  const learners = set.learners.filter((learner) => learner.name !== replica.name);
  return { voters: set.voters, learners: [...learners, replica] };
}

/** Removes the replicas of a name; undefined when there is none, or no voter would be left. */
export function withoutReplica(set: ReplicaSet, name: string): ReplicaSet | undefined {
  const voters = set.voters.filter((voter) => voter.name !== name);
  const learners = set.learners.filter((learner) => learner.name !== name);
  const removed = voters.length + learners.length < set.voters.length + set.learners.length;
  return removed && voters.length > 0 ? { voters, learners } : undefined;
}

/**
 * The next step for the learners of a set. A learner that takes the place of a lost voter (same name,
 * other disk) first pushes the lost one out, and only once it has caught up: then the next loss finds
 * as many usable voters as before. A learner of a new name, where the set is full, takes the place of
 * a silent voter in the same way: its machine is taken to be gone.
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
    if (previousVoter === undefined && set.voters.length < observations.maxVoters) {
      return promote(set, learner);
    }
    const replaced =
      previousVoter ?? set.voters.find((voter) => observations.isUnresponsive(voter.identity));
    if (replaced !== undefined && observations.isUnresponsive(replaced.identity)) {
      return withoutVoter(set, replaced.identity);
    }
  }
  return undefined;
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
