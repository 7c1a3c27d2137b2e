import { expect } from 'chai';
import { AcceptorStore } from '../../src/consensus/acceptor-store.js';
import { type AcceptorRecord, LOWEST_BALLOT } from '../../src/consensus/formation.js';
import { ReplicaFolder } from '../../src/consensus/replica-folder.js';
import type { FileCallback } from '../../src/storage/storage-files.js';
import { MemoryFiles } from '../support/memory-files.js';

const SEEDS = ['a', 'b', 'c'];
const EMPTY: AcceptorRecord = { acceptors: SEEDS, quorum: 'majority', promised: LOWEST_BALLOT };
const PROMISED: AcceptorRecord = { ...EMPTY, promised: { round: 3, proposer: 'b#1' } };

/** Files that lose power before the given file is written. */
class FailingFiles extends MemoryFiles {
  constructor(private readonly lost: string) {
    super();
  }

  override replace(name: string, bytes: Uint8Array, done: FileCallback): void {
    if (name !== this.lost) super.replace(name, bytes, done);
  }
}

function storeOf(
  files: MemoryFiles,
  join: boolean,
  seeds: readonly string[] | undefined = SEEDS,
  origin = 'a',
): AcceptorStore {
  const contacts = SEEDS.filter((seed) => seed !== origin);
  return new AcceptorStore(new ReplicaFolder(files), { origin, contacts, join, seeds });
}

function createFolder(files: MemoryFiles, join: boolean): void {
  const record = storeOf(files, join).initial();
  new ReplicaFolder(files).create('a#1', record, () => undefined);
}

describe('the record of an acceptor', () => {
  it('is written before the identity, in a folder that is created to form the set', () => {
    const files = new MemoryFiles();
    createFolder(files, false);
    expect([...files.files.keys()]).to.deep.equal(['log', 'acceptor', 'identity']);
    expect(storeOf(files, false).read()).to.deep.equal(EMPTY);
  });

  it('is missing in a folder that was created to join, also when the replica is to form a set later', () => {
    const files = new MemoryFiles();
    createFolder(files, true);
    expect(storeOf(files, true).read()).to.equal(undefined);
    expect(storeOf(files, false).read()).to.equal(undefined);
  });

  it('counts when the replica is to join by now, and other seeds are set', () => {
    const files = new MemoryFiles();
    createFolder(files, false);
    storeOf(files, false).save(PROMISED, () => undefined);
    expect(storeOf(files, true, ['a', 'd', 'e']).read()).to.deep.equal(PROMISED);
  });

  it('is kept when the folder is created again after its creation was cut short', () => {
    const files = new FailingFiles('identity');
    createFolder(files, false);
    expect(new ReplicaFolder(files).isCreated).to.equal(false);
    createFolder(files, true);
    expect(storeOf(files, true).read()).to.deep.equal(EMPTY);
  });

  it('does not count for a replica whose origin it does not name', () => {
    const files = new MemoryFiles();
    createFolder(files, false);
    expect(storeOf(files, false, SEEDS, 'd').read()).to.equal(undefined);
  });

  it('is new where all replicas have to agree, with or without an earlier disk', () => {
    const contacts = ['b', 'c'];
    const options = { origin: 'a', contacts, join: false, seeds: undefined };
    const store = new AcceptorStore(new ReplicaFolder(new MemoryFiles()), options);
    expect(store.read()).to.deep.equal({ ...EMPTY, quorum: 'all' });
  });

  it('is reported when it is damaged', () => {
    const files = new MemoryFiles();
    createFolder(files, false);
    const bytes = files.files.get('acceptor')!;
    files.files.set('acceptor', bytes.subarray(0, bytes.length - 1));
    expect(storeOf(files, false).read()).to.equal('damaged');
  });
});
