/** In-memory {@link StorageFiles} whose writes complete immediately, so that stored bytes are deterministic. */
import type { AppendFile, FileCallback, StorageFiles } from '../../src/storage/storage-files.js';

export class MemoryFiles implements StorageFiles {
  readonly files = new Map<string, Buffer>();

  createFolder(): void {
    // Files in memory need no folder.
  }

  read(name: string): Uint8Array | undefined {
    return this.files.get(name);
  }

  replace(name: string, bytes: Uint8Array, done: FileCallback): void {
    this.files.set(name, Buffer.from(bytes));
    done(undefined);
  }

  openAppend(name: string, size: number): AppendFile {
    this.files.set(name, this.files.get(name)!.subarray(0, size));
    return {
      append: (bytes, done) => {
        this.files.set(name, Buffer.concat([this.files.get(name)!, bytes]));
        done(undefined);
      },
      close: () => undefined,
    };
  }
}
