import { expect } from 'chai';
import fc from 'fast-check';
import type { LogEntry } from '../../src/storage/persisted-state.js';
import { LOG_FILE, SNAPSHOT_FILE } from '../../src/storage/load-log.js';
import { LogStorage, type OpenLogResult } from '../../src/storage/log-storage.js';
import { encodeRecord, scanRecords } from '../../src/storage/record-format.js';
import type { StorageFiles } from '../../src/storage/storage-files.js';

/** In-memory files whose writes complete synchronously. */
class MemoryFiles implements StorageFiles {
  readonly files = new Map<string, Buffer>();
  failing = false;

  createFolder(): void {
    // Files in memory need no folder.
  }

  read(name: string): Uint8Array | undefined {
    return this.files.get(name);
  }

  replace(name: string, bytes: Uint8Array, done: (error: Error | undefined) => void): void {
    if (!this.failing) this.files.set(name, Buffer.from(bytes));
    done(this.failing ? new Error('full') : undefined);
  }

  openAppend(name: string, size: number) {
    this.files.set(name, this.files.get(name)!.subarray(0, size));
    return {
      append: (bytes: Uint8Array, done: (error: Error | undefined) => void): void => {
        if (!this.failing) this.files.set(name, Buffer.concat([this.files.get(name)!, bytes]));
        done(this.failing ? new Error('full') : undefined);
      },
      close: () => undefined,
    };
  }
}

function entry(index: number, term: number): LogEntry {
  return { index, term, payload: { type: 'command', data: Buffer.from(`${index}/${term}`) } };
}

function create(): MemoryFiles {
  const files = new MemoryFiles();
  LogStorage.create(files, () => undefined);
  return files;
}

function open(files: MemoryFiles): Extract<OpenLogResult, { type: 'opened' }> {
  const opened = LogStorage.open(files);
  if (opened.type === 'damaged') throw new Error(opened.reason);
  return opened;
}

function ignore(): void {
  // The result of the write does not matter here.
}

/** Creates a log with a vote and three entries. */
function createWrittenLog(): MemoryFiles {
  const files = create();
  const { storage } = open(files);
  storage.saveHardState({ term: 3, votedFor: 'x' }, ignore);
  storage.appendEntries([entry(1, 1), entry(2, 1)], ignore);
  storage.appendEntries([entry(3, 3)], ignore);
  return files;
}

describe('log storage', () => {
  it('comes back with what was written, later entries replacing earlier ones', () => {
    const files = createWrittenLog();
    open(files).storage.appendEntries([entry(2, 4)], ignore);
    const { persisted } = open(files);
    expect(persisted.hardState).to.deep.equal({ term: 3, votedFor: 'x' });
    expect(persisted.entries.map(({ index, term }) => `${index}/${term}`)).to.deep.equal([
      '1/1',
      '2/4',
    ]);
  });

  it('keeps the entries that follow on a snapshot, and none that contradict it', () => {
    for (const [term, kept] of [
      [1, [3]],
      [2, []],
    ] as const) {
      const files = createWrittenLog();
      const replicas = { voters: [], learners: [] };
      const data = Buffer.alloc(0);
      open(files).storage.saveSnapshot({ index: 2, term, replicas, data }, ignore);
      const { persisted } = open(files);
      expect(persisted.snapshot?.index).to.equal(2);
      expect(persisted.entries.map(({ index }) => index)).to.deep.equal(kept);
      expect(persisted.hardState.term).to.equal(3);
    }
  });

  it('reports a failed write to it and to all later ones', () => {
    const files = createWrittenLog();
    const { storage } = open(files);
    files.failing = true;
    const errors: (Error | undefined)[] = [];
    storage.appendEntries([entry(4, 3)], (error) => errors.push(error));
    files.failing = false;
    storage.appendEntries([entry(4, 3)], (error) => errors.push(error));
    expect(errors.map((error) => error?.message)).to.deep.equal(['full', 'full']);
  });

  it('cuts a write that was cut short, at any byte', () => {
    const whole = createWrittenLog().files.get(LOG_FILE)!;
    const before = open(createWrittenLog());
    before.storage.appendEntries([entry(4, 3)], ignore);
    for (let size = whole.length; size < whole.length + 20; size += 1) {
      const files = createWrittenLog();
      open(files).storage.appendEntries([entry(4, 3)], ignore);
      files.files.set(LOG_FILE, files.files.get(LOG_FILE)!.subarray(0, size));
      expect(open(files).persisted.entries).to.have.length(3);
      expect(files.files.get(LOG_FILE)).to.have.length(whole.length);
    }
  });

  const damages: { name: string; damage: (files: MemoryFiles) => void }[] = [
    { name: 'a changed byte in the middle', damage: (files) => flipByte(files, LOG_FILE, 0.5) },
    {
      name: 'a changed byte in the last record',
      damage: (files) => flipByte(files, LOG_FILE, 0.99),
    },
    { name: 'a missing log', damage: (files) => files.files.delete(LOG_FILE) },
    {
      name: 'a missing snapshot',
      damage: (files) => {
        saveSnapshotAtIndex2(files);
        files.files.delete(SNAPSHOT_FILE);
      },
    },
    {
      name: 'a damaged snapshot',
      damage: (files) => {
        saveSnapshotAtIndex2(files);
        flipByte(files, SNAPSHOT_FILE, 0.5);
      },
    },
  ];
  for (const { name, damage } of damages) {
    it(`refuses to open after ${name}`, () => {
      const files = createWrittenLog();
      damage(files);
      expect(LogStorage.open(files).type).to.equal('damaged');
    });
  }
});

function flipByte(files: MemoryFiles, name: string, at: number): void {
  const bytes = Buffer.from(files.files.get(name)!);
  const offset = Math.floor(bytes.length * at);
  bytes[offset] = bytes[offset]! ^ 0xff;
  files.files.set(name, bytes);
}

function saveSnapshotAtIndex2(files: MemoryFiles): void {
  const replicas = { voters: [], learners: [] };
  const snapshot = { index: 2, term: 1, replicas, data: Buffer.alloc(0) };
  open(files).storage.saveSnapshot(snapshot, ignore);
}

describe('records', () => {
  const payloads = fc.array(fc.uint8Array({ maxLength: 40 }), { minLength: 1, maxLength: 6 });

  it('are read back as written', () => {
    fc.assert(
      fc.property(payloads, (written) => {
        const scan = scanRecords(Buffer.concat(written.map(encodeRecord)));
        expect(scan.end.type).to.equal('complete');
        expect(scan.payloads.map((bytes) => [...bytes])).to.deep.equal(
          written.map((bytes) => [...bytes]),
        );
      }),
    );
  });

  it('never give anything that was not written, whichever byte is changed', () => {
    fc.assert(
      fc.property(payloads, fc.nat(), fc.integer({ min: 1, max: 255 }), (written, at, mask) => {
        const bytes = Buffer.concat(written.map(encodeRecord));
        const offset = at % bytes.length;
        bytes[offset] = bytes[offset]! ^ mask;
        const scan = scanRecords(bytes);
        expect(scan.end.type).to.not.equal('complete');
        scan.payloads.forEach((payload, index) => {
          expect([...payload]).to.deep.equal([...written[index]!]);
        });
      }),
    );
  });
});
