/**
 * Guards against queued writes that start after the log file was closed: they would use a file descriptor that the system
 * may have reused, and closing it a second time fails with EBADF.
 */
import { expect } from 'chai';
import { LogStorage } from '../../src/storage/log-storage.js';
import type { AppendFile, FileCallback, StorageFiles } from '../../src/storage/storage-files.js';

/** In-memory files whose writes complete when the test calls {@link completeWrites}. */
class DeferredFiles implements StorageFiles {
  readonly contents = new Map<string, Uint8Array>();
  readonly pendingWrites: FileCallback[] = [];
  readonly faults: string[] = [];
  openCount = 0;

  createFolder(): void {
    // Files in memory need no folder.
  }

  read(name: string): Uint8Array | undefined {
    return this.contents.get(name);
  }

  replace(name: string, bytes: Uint8Array, done: FileCallback): void {
    this.contents.set(name, bytes);
    this.pendingWrites.push(done);
  }

  openAppend(): AppendFile {
    this.openCount += 1;
    let isClosed = false;
    return {
      append: (_bytes, done) => {
        if (isClosed) this.faults.push('a write was begun on a closed file');
        this.pendingWrites.push(done);
      },
      close: () => {
        isClosed = true;
      },
    };
  }

  /** Completes the pending writes and those that their callbacks start. */
  completeWrites(): void {
    for (
      let done = this.pendingWrites.shift();
      done !== undefined;
      done = this.pendingWrites.shift()
    ) {
      done(undefined);
    }
  }
}

describe('a log that is closed while it writes', () => {
  let files: DeferredFiles;
  let storage: LogStorage;

  beforeEach(() => {
    files = new DeferredFiles();
    LogStorage.create(files, () => undefined);
    files.completeWrites();
    const opened = LogStorage.open(files);
    if (opened.type !== 'opened') throw new Error(opened.reason);
    ({ storage } = opened);
  });

  it('begins no write that was queued, and acknowledges none', () => {
    const ended: string[] = [];
    storage.saveHardState({ term: 1, votedFor: 'a' }, () => ended.push('first'));
    storage.saveHardState({ term: 2, votedFor: 'a' }, () => ended.push('second'));
    storage.close();
    files.completeWrites();
    storage.saveHardState({ term: 3, votedFor: 'a' }, () => ended.push('third'));
    files.completeWrites();
    expect(files.faults).to.deep.equal([]);
    expect(ended).to.deep.equal(['first']);
  });

  it('opens no file again after a snapshot that was under way', () => {
    const replicas = { voters: [], learners: [] };
    const snapshot = { index: 0, term: 0, replicas, data: Buffer.alloc(0) };
    storage.saveSnapshot(snapshot, () => undefined);
    storage.close();
    files.completeWrites();
    expect(files.openCount).to.equal(1);
  });
});
