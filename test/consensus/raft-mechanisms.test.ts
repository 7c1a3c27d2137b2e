import { expect } from 'chai';
import { ELECTION_TIMEOUT_MS, RaftCluster } from '../support/raft-cluster.js';

const NAMES = ['a', 'b', 'c'] as const;

function others(name: string): string[] {
  return NAMES.filter((other) => other !== name);
}

/** Isolates the leader and waits until the other nodes have elected a new one. */
function splitLeader(cluster: RaftCluster): { old: string; new: string } {
  const old = cluster.electLeader();
  cluster.isolate(old);
  return { old, new: cluster.electLeader(others(old)) };
}

describe('raft mechanisms, each on and switched off', () => {
  for (const checkQuorum of [true, false]) {
    it(`a cut-off leader ${checkQuorum ? 'steps down' : 'leads on'} (check quorum ${checkQuorum})`, () => {
      const cluster = new RaftCluster(NAMES, { checkQuorum });
      const leader = cluster.electLeader();
      cluster.isolate(leader);
      cluster.clock.advance(2 * ELECTION_TIMEOUT_MS);
      expect(cluster.node(leader).status().role === 'leader').to.equal(!checkQuorum);
    });
  }

  for (const confirmReads of [true, false]) {
    it(`a cut-off leader ${confirmReads ? 'serves no' : 'serves a'} stale read (confirmation ${confirmReads})`, () => {
      const cluster = new RaftCluster(NAMES, { confirmReads, checkQuorum: false });
      const split = splitLeader(cluster);
      const write = cluster.propose(split.new, 'newer');
      cluster.clock.advance(ELECTION_TIMEOUT_MS);
      expect(write.outcome?.type).to.equal('applied');
      const read = cluster.read(split.old);
      cluster.clock.advance(10 * ELECTION_TIMEOUT_MS);
      expect(read.confirmed === true).to.equal(!confirmReads);
      expect(cluster.applied.get(split.old)).to.not.include('newer');
    });
  }

  for (const preVote of [true, false]) {
    it(`a returning replica ${preVote ? 'does not disturb' : 'disturbs'} the leader (pre-vote ${preVote})`, () => {
      const cluster = new RaftCluster(NAMES, { preVote });
      const leader = cluster.electLeader();
      const { term } = cluster.node(leader).status();
      const away = others(leader)[0]!;
      cluster.isolate(away);
      cluster.clock.advance(20 * ELECTION_TIMEOUT_MS);
      cluster.heal();
      cluster.clock.advance(10 * ELECTION_TIMEOUT_MS);
      expect(cluster.node(leader).status().term === term).to.equal(preVote);
    });
  }

  for (const catchUpBeforeVote of [true, false]) {
    it(`a learner that is cut off ${catchUpBeforeVote ? 'stays one' : 'gets a vote'} (catch-up ${catchUpBeforeVote})`, () => {
      const cluster = new RaftCluster(['a', 'b'], { catchUpBeforeVote }, ['d']);
      cluster.isolate('d');
      const leader = cluster.electLeader();
      cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
      const voters = cluster
        .node(leader)
        .status()
        .replicas.voters.map((voter) => voter.name);
      expect(voters.includes('d')).to.equal(!catchUpBeforeVote);
    });
  }
});

describe('raft', () => {
  it('a write at a cut-off leader ends as unknown and does not survive', () => {
    const cluster = new RaftCluster(NAMES);
    const leader = cluster.electLeader();
    cluster.isolate(leader);
    const lost = cluster.propose(leader, 'lost');
    const next = cluster.electLeader(others(leader));
    const kept = cluster.propose(next, 'kept');
    cluster.clock.advance(2 * ELECTION_TIMEOUT_MS);
    cluster.heal();
    cluster.clock.advance(5 * ELECTION_TIMEOUT_MS);
    expect(lost.outcome).to.deep.equal({ type: 'unknown' });
    expect(kept.outcome?.type).to.equal('applied');
    for (const name of NAMES) expect(cluster.applied.get(name)).to.deep.equal(['kept']);
  });

  it('a leader that stops hands over within one round trip', () => {
    const cluster = new RaftCluster(NAMES);
    const leader = cluster.electLeader();
    cluster.clock.advance(ELECTION_TIMEOUT_MS);
    cluster.node(leader).stop();
    cluster.clock.advance(10);
    const roles = others(leader).map((name) => cluster.node(name).status().role);
    expect(roles).to.include('leader');
  });

  it('a new machine joins, catches up and gets a vote', () => {
    const cluster = new RaftCluster(NAMES);
    const leader = cluster.electLeader();
    cluster.propose(leader, 'before');
    cluster.join('d');
    cluster.clock.advance(10 * ELECTION_TIMEOUT_MS);
    const { voters } = cluster.node(leader).status().replicas;
    expect(voters.map((voter) => voter.name)).to.have.members(['a', 'b', 'c', 'd']);
    expect(cluster.applied.get('d')).to.deep.equal(['before']);
  });

  it('a replica that was removed leads no more', () => {
    const cluster = new RaftCluster(NAMES);
    const leader = cluster.electLeader();
    expect(cluster.node(leader).removeReplica(leader)).to.equal(true);
    const next = cluster.electLeader(others(leader));
    expect(cluster.node(leader).status().role).to.not.equal('leader');
    expect(
      cluster
        .node(next)
        .status()
        .replicas.voters.map((voter) => voter.name),
    ).to.have.members(others(leader));
  });
});
