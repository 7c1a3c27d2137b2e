/** The first moments after all replicas have started at once: election, and read barriers of all followers. */
import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ReadCallback } from '../../src/consensus/pending-reads.js';
import { ReadBatch } from '../../src/consensus/read-batch.js';
import { ELECTION_TIMEOUT_MS, RaftCluster } from '../support/raft-cluster.js';

const REPLICAS = ['a', 'b', 'c', 'd', 'e'];

function leaderOf(cluster: RaftCluster): string | undefined {
  return REPLICAS.find((name) => cluster.node(name).status().role === 'leader');
}

describe('replicas that start at once', () => {
  it('elect a leader before an election timeout has passed, as there is none to wait for', () => {
    for (const skippedDraws of [20, 30, 40, 50, 60]) {
      const cluster = new RaftCluster(REPLICAS, {}, [], skippedDraws);
      cluster.clock.advance(ELECTION_TIMEOUT_MS);
      expect(leaderOf(cluster), `${skippedDraws}`).to.not.equal(undefined);
    }
  });

  it('wait for whole election timeouts once they have known a leader', () => {
    const cluster = new RaftCluster(REPLICAS, {}, [], 20);
    const first = cluster.electLeader();
    const { term } = cluster.node(first).status();
    cluster.isolate(first);
    // The last heartbeat may be a fifth of a timeout old.
    cluster.clock.advance(0.75 * ELECTION_TIMEOUT_MS);
    for (const name of REPLICAS) expect(cluster.node(name).status().term, name).to.equal(term);
  });
});

describe('a batch of read barriers', () => {
  let clock: VirtualClock;
  let confirmations: ReadCallback[];
  let batch: ReadBatch;
  let answers: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    confirmations = [];
    answers = [];
    batch = new ReadBatch(clock, ELECTION_TIMEOUT_MS, (callback) => confirmations.push(callback));
  });

  function read(name: string): void {
    batch.add((isConfirmed) => answers.push(`${name} ${isConfirmed}`));
  }

  it('sends one message for all reads that arrive while one is confirmed', () => {
    for (let index = 0; index < 20; index += 1) read(`${index}`);
    expect(confirmations).to.have.length(1);
    confirmations[0]!(true);
    expect(answers).to.deep.equal(['0 true']);
    expect(confirmations).to.have.length(2);
    confirmations[1]!(true);
    expect(answers).to.have.length(20);
    expect(confirmations).to.have.length(2);
  });

  it('confirms no read by a barrier that began before it', () => {
    read('first');
    read('second');
    confirmations[0]!(true);
    expect(answers).to.deep.equal(['first true']);
    confirmations[1]!(false);
    expect(answers).to.deep.equal(['first true', 'second false']);
  });

  it('begins the next batch when a barrier does not end', () => {
    read('first');
    read('second');
    clock.advance(ELECTION_TIMEOUT_MS);
    expect(confirmations).to.have.length(2);
    confirmations[1]!(true);
    confirmations[0]!(true);
    expect(answers).to.deep.equal(['second true', 'first true']);
  });

  it('takes reads that fail at once', () => {
    const failing = new ReadBatch(clock, ELECTION_TIMEOUT_MS, (callback) => callback(false));
    failing.add((isConfirmed) => answers.push(`${isConfirmed}`));
    failing.add((isConfirmed) => answers.push(`${isConfirmed}`));
    expect(answers).to.deep.equal(['false', 'false']);
  });
});
