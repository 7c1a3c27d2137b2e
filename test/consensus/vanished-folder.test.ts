import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { ReplicaHost } from '../../src/consensus/replica-host.js';
import type { FileCallback } from '../../src/storage/storage-files.js';
import { MemoryFiles } from '../support/memory-files.js';

const SEEDS = ['a', 'b', 'c'];
/** Longer than the delay before a folder is opened again. */
const REOPENED_MS = 1_500;

/** Files that vanish, after which one write fails. */
class VanishingFiles extends MemoryFiles {
  private hasVanished = false;

  vanish(): void {
    this.files.clear();
    this.hasVanished = true;
  }

  override replace(name: string, bytes: Uint8Array, done: FileCallback): void {
    if (!this.hasVanished) {
      super.replace(name, bytes, done);
      return;
    }
    this.hasVanished = false;
    done(new Error('the folder is gone'));
  }
}

function createSeed(clock: VirtualClock, files: MemoryFiles): ReplicaHost {
  let identities = 0;
  return new ReplicaHost({
    clock,
    random: new SeededRandom(1),
    files,
    transport: { send: () => undefined },
    stateMachine: {
      apply: () => undefined,
      takeSnapshot: () => Buffer.alloc(0),
      restoreSnapshot: () => undefined,
    },
    name: 'a',
    origin: 'a',
    role: 'voter',
    contacts: SEEDS.filter((origin) => origin !== 'a'),
    seeds: SEEDS,
    join: false,
    electionTimeoutMs: 100,
    generateIdentity: () => `a#${(identities += 1)}`,
  });
}

describe('a seed whose data folder vanishes while it runs', () => {
  // It had promised a ballot, forgot it, and could promise another: two sets could form.
  it('is no acceptor of the replica set any more', () => {
    const clock = new VirtualClock();
    const files = new VanishingFiles();
    const seed = createSeed(clock, files);
    seed.start();
    expect([seed.phase, files.files.has('acceptor')]).to.deep.equal(['bootstrapping', true]);
    files.vanish();
    const from = { identity: 'b#1', name: 'b', origin: 'b', role: 'voter' } as const;
    const ballot = { round: 1, proposer: 'b#1' };
    seed.receive('a#1', { type: 'form-prepare', from, term: 0, ballot, acceptors: SEEDS });
    expect(seed.phase).to.equal('failed');
    clock.advance(REOPENED_MS);
    expect([seed.phase, files.files.has('acceptor')]).to.deep.equal(['running', false]);
    expect(seed.identity).to.equal('a#2');
  });
});
