import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ProbeFinding, RaftMessage } from '../../src/consensus/raft-types.js';
import type { Replica } from '../../src/storage/persisted-state.js';
import { ReplicaBootstrap, type BootstrapDecision } from '../../src/consensus/replica-bootstrap.js';

function replica(name: string, disk: number): Replica {
  return { identity: `${name}#${disk}`, name, origin: name, role: 'voter' };
}

const FIRST = [replica('a', 1), replica('b', 1), replica('c', 1)];
const WITH_NEW_A = [replica('a', 2), replica('b', 1), replica('c', 1)];

/** The bootstrap of replica `b` with the given promise on its disk. */
class Bootstrap {
  decision: BootstrapDecision | undefined;
  promise: readonly Replica[] | undefined;
  private readonly bootstrap: ReplicaBootstrap;

  constructor(promised: readonly Replica[] | undefined) {
    this.promise = promised;
    this.bootstrap = new ReplicaBootstrap({
      clock: new VirtualClock(),
      transport: { send: () => undefined },
      self: replica('b', 1),
      contacts: ['a', 'c'],
      probeIntervalMs: 100,
      promised,
      savePromise: (replicas, done) => {
        this.promise = replicas;
        done();
      },
      onDecided: (decision) => {
        this.decision = decision;
      },
    });
    this.bootstrap.start();
  }

  receive(from: Replica, found: ProbeFinding): void {
    const message: RaftMessage = { type: 'probe-response', from, term: 0, found };
    this.bootstrap.receive(message);
  }
}

function empty(promised: readonly Replica[] | undefined): ProbeFinding {
  return { type: 'empty', promised };
}

describe('ReplicaBootstrap', () => {
  it('promises once it knows all, and forms once all have promised the same', () => {
    const bootstrap = new Bootstrap(undefined);
    bootstrap.receive(replica('a', 1), empty(undefined));
    bootstrap.receive(replica('c', 1), empty(FIRST));
    expect(bootstrap.promise).to.deep.equal(FIRST);
    expect(bootstrap.decision).to.equal(undefined);
    bootstrap.receive(replica('a', 1), empty(FIRST));
    expect(bootstrap.decision).to.deep.equal({
      type: 'form',
      replicas: { voters: FIRST, learners: [] },
    });
  });

  it('forms no second store on the old answer of a replica that promised another set', () => {
    const bootstrap = new Bootstrap(undefined);
    bootstrap.receive(replica('c', 1), empty(FIRST));
    bootstrap.receive(replica('a', 2), empty(WITH_NEW_A));
    expect(bootstrap.promise).to.deep.equal(WITH_NEW_A);
    expect(bootstrap.decision).to.equal(undefined);
  });

  it('keeps its promise after a restart, whoever comes back with an empty disk', () => {
    const bootstrap = new Bootstrap(FIRST);
    bootstrap.receive(replica('a', 2), empty(WITH_NEW_A));
    bootstrap.receive(replica('c', 1), empty(WITH_NEW_A));
    expect(bootstrap.promise).to.deep.equal(FIRST);
    expect(bootstrap.decision).to.equal(undefined);
  });

  it('adopts a formed set that it is in, and no other', () => {
    const bootstrap = new Bootstrap(undefined);
    const other = [replica('a', 1), replica('b', 9), replica('c', 1)];
    bootstrap.receive(replica('a', 1), {
      type: 'formed',
      replicas: { voters: other, learners: [] },
    });
    expect(bootstrap.decision).to.equal(undefined);
    const replicas = { voters: FIRST, learners: [] };
    bootstrap.receive(replica('a', 1), { type: 'formed', replicas });
    expect(bootstrap.decision).to.deep.equal({ type: 'form', replicas });
  });

  it('joins where a log has begun', () => {
    const bootstrap = new Bootstrap(FIRST);
    bootstrap.receive(replica('c', 1), { type: 'log' });
    expect(bootstrap.decision).to.deep.equal({ type: 'join' });
  });
});
