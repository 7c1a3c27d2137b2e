import { expect } from 'chai';
import { bearableLosses, votersToBear } from '../../src/consensus/loss-tolerance.js';
import { ELECTION_TIMEOUT_MS, RaftCluster } from '../support/raft-cluster.js';

const FIRST = ['a', 'b', 'c'];
const LATER = ['d', 'e'];
/** Longer than the wait for missing voters. */
const WAIT_MS = 4 * ELECTION_TIMEOUT_MS;

function cluster(lossTolerance = 2): RaftCluster {
  return new RaftCluster(FIRST, {}, [], 0, { lossTolerance, maxVoters: 5 });
}

describe('the first command of a replica set', () => {
  // Acknowledged by two of three voters, it was lost with the disks of these two.
  it('is acknowledged by no fewer voters than bear the tolerated losses', () => {
    const raft = cluster();
    const leader = raft.electLeader();
    const { outcome } = raft.propose(leader, 'first');
    expect(outcome).to.equal(undefined);
    const proposal = raft.propose(leader, 'second');
    for (const name of LATER) raft.join(name);
    const { clock } = raft;
    for (let waited = 0; proposal.outcome === undefined && waited < WAIT_MS; waited += 1) {
      clock.advance(1);
    }
    expect(proposal.outcome?.type).to.equal('applied');
    expect(raft.node(leader).status().replicas.voters).to.have.length(5);
    expect(raft.applied.get(leader)).to.deep.equal(['first', 'second']);
  });

  it('waits no longer than three election timeouts for voters that are missing', () => {
    const raft = cluster();
    const leader = raft.electLeader();
    const first = raft.propose(leader, 'first');
    raft.clock.advance(WAIT_MS);
    expect(first.outcome?.type).to.equal('applied');
    const second = raft.propose(leader, 'second');
    raft.clock.advance(ELECTION_TIMEOUT_MS / 4);
    expect(second.outcome?.type).to.equal('applied');
  });

  it('has no effect if the leader steps down while it waits', () => {
    const raft = cluster();
    const leader = raft.electLeader();
    const first = raft.propose(leader, 'first');
    raft.node(leader).stop();
    expect(first.outcome).to.deep.equal({ type: 'not-leader', leader: undefined });
    raft.isolate(leader);
    raft.clock.advance(10 * WAIT_MS);
    const others = FIRST.filter((name) => name !== leader);
    for (const name of others) expect(raft.applied.get(name), name).to.deep.equal([]);
  });

  it('does not wait where no loss is tolerated', () => {
    const raft = cluster(0);
    const leader = raft.electLeader();
    const first = raft.propose(leader, 'first');
    raft.clock.advance(ELECTION_TIMEOUT_MS / 4);
    expect(first.outcome?.type).to.equal('applied');
  });
});

describe('bearable losses', () => {
  it('leave a majority of the set that holds what was acknowledged', () => {
    expect([1, 2, 3, 4, 5, 7].map((voters) => bearableLosses(voters, voters))).to.deep.equal([
      0, 0, 1, 1, 2, 3,
    ]);
    expect([0, 1, 2, 3].map(votersToBear)).to.deep.equal([1, 3, 5, 7]);
  });

  it('fall with each voter that is already silent', () => {
    expect([5, 4, 3, 2].map((responsive) => bearableLosses(5, responsive))).to.deep.equal([
      2, 1, 0, 0,
    ]);
  });

  it('are known to the leader alone', () => {
    const raft = cluster();
    const leader = raft.electLeader();
    const known = FIRST.map((name) => raft.node(name).status().bearableLosses);
    expect(known.filter((losses) => losses === 1)).to.have.length(1);
    raft.isolate(FIRST.find((name) => name !== leader)!);
    raft.clock.advance(WAIT_MS);
    expect(raft.node(leader).status().bearableLosses).to.equal(0);
  });
});
