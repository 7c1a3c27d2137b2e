import { expect } from 'chai';
import { SimDisk } from '../../lab/simulator/replication/sim-disk.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ProposalOutcome } from '../../src/consensus/raft-options.js';
import { ReplicaHost } from '../../src/consensus/replica-host.js';

describe('a replica whose disk is full for a while', () => {
  it('takes part again once the disk takes writes, and applies nothing twice', () => {
    const clock = new VirtualClock();
    const random = new SeededRandom(1);
    const disk = new SimDisk({ clock, random, acknowledgesBeforeSync: false });
    let applied: string[] = [];
    const host = new ReplicaHost({
      clock,
      random,
      files: disk.mount(),
      transport: { send: () => undefined },
      stateMachine: {
        apply: (data) => applied.push(Buffer.from(data).toString()),
        takeSnapshot: () => Buffer.from(JSON.stringify(applied)),
        restoreSnapshot: (data) => {
          applied = JSON.parse(Buffer.from(data).toString()) as string[];
        },
      },
      name: 'a',
      origin: 'a',
      role: 'voter',
      contacts: [],
      join: false,
      electionTimeoutMs: 100,
      generateIdentity: () => 'disk-1',
    });
    const propose = (text: string): string => {
      let outcome: ProposalOutcome | undefined;
      host.propose(Buffer.from(text), (result) => (outcome = result));
      clock.advance(500);
      return outcome?.type ?? 'none';
    };
    host.start();
    clock.advance(2_000);
    expect(propose('first')).to.equal('applied');
    disk.full = true;
    expect(propose('refused')).to.not.equal('applied');
    expect(host.phase).to.equal('failed');
    clock.advance(5_000);
    expect(host.phase).to.equal('failed');
    disk.full = false;
    clock.advance(5_000);
    expect(host.phase).to.equal('running');
    expect(propose('second')).to.equal('applied');
    expect(applied).to.deep.equal(['first', 'second']);
    host.stop();
  });
});
