import { expect } from 'chai';
import { nextReplicaChange } from '../../src/consensus/replica-changes.js';
import type { Replica, ReplicaSet } from '../../src/storage/persisted-state.js';

function replica(name: string, disk = 1): Replica {
  return { identity: `${name}#${disk}`, name, origin: name, role: 'voter' };
}

function names(set: ReplicaSet | undefined): string[] | undefined {
  return set?.voters.map(({ identity }) => identity);
}

function decide(
  voters: Replica[],
  learner: Replica,
  unresponsive: string[],
  maxVoters = 3,
  late: string[] = [],
) {
  return nextReplicaChange(
    { voters, learners: [learner] },
    {
      hasCaughtUp: () => true,
      isUnresponsive: (identity) => unresponsive.includes(identity),
      isAnswering: (identity) => !unresponsive.includes(identity) && !late.includes(identity),
      maxVoters,
    },
  );
}

const THREE = [replica('a'), replica('b'), replica('c')];

describe('the next change of a replica set', () => {
  it('makes a learner a voter while there are too few', () => {
    expect(names(decide(THREE, replica('d'), [], 5))).to.deep.equal(['a#1', 'b#1', 'c#1', 'd#1']);
  });

  it('adds no fourth voter while one of three is late, as the loss of both would be that of the majority', () => {
    expect(decide(THREE, replica('d'), [], 5, ['c#1'])).to.equal(undefined);
    expect(decide(THREE, replica('d'), [], 5, ['d#1'])).to.equal(undefined);
    const four = [...THREE, replica('d')];
    expect(names(decide(four, replica('e'), [], 5, ['c#1']))).to.have.length(5);
    expect(names(decide([replica('a')], replica('b'), [], 5))).to.deep.equal(['a#1', 'b#1']);
  });

  it('replaces a silent voter rather than adding one beside it', () => {
    expect(names(decide(THREE, replica('d'), ['c#1'], 5))).to.deep.equal(['a#1', 'b#1']);
  });

  it('lets a learner stand by while all voters are heard', () => {
    expect(decide(THREE, replica('d'), [])).to.equal(undefined);
  });

  it('puts a silent voter out when a learner of another name can take its place', () => {
    expect(names(decide(THREE, replica('d'), ['b#1']))).to.deep.equal(['a#1', 'c#1']);
  });

  it('puts an earlier disk of the same machine out first', () => {
    expect(names(decide(THREE, replica('b', 2), ['b#1']))).to.deep.equal(['a#1', 'c#1']);
    expect(decide(THREE, replica('b', 2), [])).to.equal(undefined);
  });

  it('counts on no learner that has fallen silent itself', () => {
    expect(decide(THREE, replica('d'), ['d#1'], 5)).to.equal(undefined);
    expect(decide(THREE, replica('d'), ['b#1', 'd#1'])).to.equal(undefined);
  });
});
