/**
 * Guards against changes of the storage format: a version that writes other bytes cannot be rolled back, and one that
 * expects other bytes cannot read existing data folders. test/fixtures/stored-bytes.json holds each record as hexadecimal
 * and as decoded text.
 */
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { LOWEST_BALLOT } from '../../src/consensus/formation.js';
import { ReplicaFolder } from '../../src/consensus/replica-folder.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import { StoreMachine } from '../../src/control/store-machine.js';
import type { Replica } from '../../src/storage/persisted-state.js';
import { encodeRecord, scanRecords } from '../../src/storage/record-format.js';
import { MemoryFiles } from '../support/memory-files.js';
import { decodedText, showRecords, type ShownRecord } from '../support/stored-bytes.js';
import { StoredReplica } from '../support/stored-replica.js';

/** The records of each file of a data folder, by its name. */
type ShownFiles = Record<string, ShownRecord[]>;

interface Pinned {
  /** One command of each type. */
  readonly commands: readonly unknown[];
  /** Request of a replica to join, which adds a log entry with a replica set. */
  readonly joinRequest: unknown;
  readonly filesBeforeSnapshot: ShownFiles;
  readonly filesAfterSnapshot: ShownFiles;
  /** Snapshot written by a version without declared sets. */
  readonly oldState: { readonly hex: string; readonly text: string };
  /** Promise to form a replica set, written by a version in which all replicas had to promise the same. */
  readonly oldPromise: ShownRecord;
}

const PINNED = JSON.parse(readFileSync('test/fixtures/stored-bytes.json', 'utf8')) as Pinned;
const ELECTION_MS = 1_000;

function startReplica(
  files: MemoryFiles,
  clock: VirtualClock,
  snapshotInterval = 1_000,
): StoredReplica {
  const replica = new StoredReplica({ clock, files, snapshotInterval });
  replica.host.start();
  clock.advance(ELECTION_MS);
  expect(replica.isCaughtUp).to.equal(true);
  return replica;
}

/** Creates a data folder with every type of record, written in two terms. */
async function writeDataFolder(clock: VirtualClock): Promise<MemoryFiles> {
  const files = new MemoryFiles();
  const first = startReplica(files, clock);
  for (const command of PINNED.commands) {
    await first.log.propose(command as Parameters<typeof first.log.propose>[0]);
  }
  first.host.receive('', PINNED.joinRequest as Parameters<typeof first.host.receive>[1]);
  first.host.stop();
  startReplica(files, clock).host.stop();
  return files;
}

function decodeFiles(files: MemoryFiles): ShownFiles {
  return Object.fromEntries([...files.files].map(([name, bytes]) => [name, showRecords(bytes)]));
}

describe('the bytes of a record', () => {
  it('are the length, its checksum, the checksum of the payload, and the payload', () => {
    expect(Buffer.from(encodeRecord(Buffer.from('shoredoor'))).toString('hex')).to.equal(
      '00000009589867b8ed4eb37a73686f7265646f6f72',
    );
    expect(Buffer.from(encodeRecord(Buffer.alloc(0))).toString('hex')).to.equal(
      '000000002144df1c00000000',
    );
  });

  it('are read as they were written', () => {
    const bytes = Buffer.from('00000009589867b8ed4eb37a73686f7265646f6f72', 'hex');
    const [payload] = scanRecords(bytes).payloads;
    expect(Buffer.from(payload!).toString()).to.equal('shoredoor');
  });
});

describe('the bytes of a data folder', () => {
  it('are those of each kind of record and command', async () => {
    const files = await writeDataFolder(new VirtualClock());
    expect(decodeFiles(files)).to.deep.equal(PINNED.filesBeforeSnapshot);
  });

  it('are those of a snapshot and the log after it', async () => {
    const clock = new VirtualClock();
    const files = await writeDataFolder(clock);
    startReplica(files, clock, 1).host.stop();
    expect(decodeFiles(files)).to.deep.equal(PINNED.filesAfterSnapshot);
  });
});

describe('a promise of an earlier version to form a replica set', () => {
  it('is read as the acceptance of that set', () => {
    const { hex, text } = PINNED.oldPromise;
    const files = new MemoryFiles();
    files.files.set('promise', Buffer.from(hex, 'hex'));
    expect(showRecords(files.read('promise')!)).to.deep.equal([{ hex, text }]);
    const replicas = JSON.parse(text) as Replica[];
    expect(new ReplicaFolder(files).readAcceptor('majority')).to.deep.equal({
      acceptors: replicas.map(({ origin }) => origin),
      quorum: 'majority',
      promised: LOWEST_BALLOT,
      accepted: { ballot: LOWEST_BALLOT, replicas: { voters: replicas, learners: [] } },
    });
  });
});

describe('a snapshot of a version without declared sets', () => {
  it('is taken over whole', () => {
    const { hex, text } = PINNED.oldState;
    const machine = new StoreMachine(new ResourceStore(), () => undefined);
    machine.restoreSnapshot(Buffer.from(hex, 'hex'));
    expect(decodedText(Buffer.from(hex, 'hex'))).to.equal(text);
    const { declarations, ...rest } = JSON.parse(decodedText(machine.takeSnapshot())) as {
      declarations: unknown;
    };
    expect(declarations).to.deep.equal([]);
    expect(JSON.stringify(rest)).to.equal(text);
  });
});
