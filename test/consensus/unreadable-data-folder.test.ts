/** Guards against a process that ends because a file of its data folder cannot be read or opened for a while. */
import { expect } from 'chai';
import { SimDisk } from '../../lab/simulator/replication/sim-disk.js';
import { StorageError } from '../../src/common/errors.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { ProposalOutcome } from '../../src/consensus/raft-options.js';
import { ReplicaHost } from '../../src/consensus/replica-host.js';
import type { StorageFiles } from '../../src/storage/storage-files.js';

const SNAPSHOT_INTERVAL = 4;

type Operation = 'createFolder' | 'read' | 'openAppend';

/** Files of which some operations fail, as on a system without free descriptors. */
function failingFiles(files: StorageFiles, failing: ReadonlySet<Operation>): StorageFiles {
  const check = (operation: Operation): void => {
    if (failing.has(operation)) throw new StorageError(`Could not ${operation}.`);
  };
  return {
    createFolder: () => {
      check('createFolder');
      files.createFolder();
    },
    read: (name) => {
      check('read');
      return files.read(name);
    },
    replace: (name, bytes, done) => files.replace(name, bytes, done),
    openAppend: (name, size) => {
      check('openAppend');
      return files.openAppend(name, size);
    },
  };
}

describe('a replica whose data folder cannot be used for a while', () => {
  let clock: VirtualClock;
  let disk: SimDisk;
  let failing: Set<Operation>;
  let applied: string[];
  let host: ReplicaHost;
  let identities: number;

  beforeEach(() => {
    clock = new VirtualClock();
    disk = new SimDisk({ clock, random: new SeededRandom(1), acknowledgesBeforeSync: false });
    failing = new Set();
    applied = [];
    identities = 0;
    host = createHost();
  });

  function createHost(): ReplicaHost {
    return new ReplicaHost({
      clock,
      random: new SeededRandom(2),
      files: failingFiles(disk.mount(), failing),
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
      snapshotInterval: SNAPSHOT_INTERVAL,
      generateIdentity: () => `disk-${(identities += 1)}`,
    });
  }

  function propose(text: string): string {
    let outcome: ProposalOutcome | undefined;
    host.propose(Buffer.from(text), (result) => (outcome = result));
    clock.advance(500);
    return outcome?.type ?? 'none';
  }

  for (const operation of ['createFolder', 'read', 'openAppend'] as const) {
    it(`waits at its first start, and takes part afterwards: ${operation}`, () => {
      failing.add(operation);
      host.start();
      clock.advance(5_000);
      expect(host.phase).to.equal('failed');
      expect(host.problem).to.contain(`Could not ${operation}.`);
      failing.clear();
      clock.advance(5_000);
      expect(host.phase).to.equal('running');
      expect(propose('first')).to.equal('applied');
    });
  }

  for (const operation of ['read', 'openAppend'] as const) {
    it(`waits at a later start, and keeps its identity and data: ${operation}`, () => {
      host.start();
      clock.advance(2_000);
      expect(propose('first')).to.equal('applied');
      const { identity } = host;
      host.stop();
      failing.add(operation);
      host = createHost();
      host.start();
      clock.advance(5_000);
      expect(host.phase).to.equal('failed');
      expect(propose('refused')).to.equal('not-leader');
      failing.clear();
      clock.advance(5_000);
      expect(host.phase).to.equal('running');
      expect(host.identity).to.equal(identity);
      expect(propose('second')).to.equal('applied');
      expect(applied).to.deep.equal(['first', 'second']);
    });
  }

  it('waits when its log cannot be opened after a snapshot, and applies nothing twice', () => {
    host.start();
    clock.advance(2_000);
    failing.add('openAppend');
    const accepted: string[] = [];
    for (let change = 0; change < 2 * SNAPSHOT_INTERVAL; change += 1) {
      if (propose(`change-${change}`) === 'applied') accepted.push(`change-${change}`);
    }
    expect(host.phase).to.equal('failed');
    failing.clear();
    clock.advance(5_000);
    expect(host.phase).to.equal('running');
    expect(propose('last')).to.equal('applied');
    expect(applied.filter((change) => accepted.includes(change))).to.deep.equal(accepted);
    expect(new Set(applied).size).to.equal(applied.length);
  });
});
