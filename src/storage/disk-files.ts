/**
 * File system implementation of {@link StorageFiles}. Each write is synced before its callback runs, and a failed system
 * call is reported as a StorageError with its cause.
 */
import {
  closeSync,
  fdatasync,
  fsyncSync,
  ftruncateSync,
  mkdirSync,
  openSync,
  readFileSync,
  write,
} from 'node:fs';
import { open, rename } from 'node:fs/promises';
import { join } from 'node:path';
import { StorageError } from '../common/errors.js';
import type { AppendFile, FileCallback, StorageFiles } from './storage-files.js';

function storageError(action: string, cause: unknown): Error {
  return new StorageError(`Could not ${action}.`, { cause });
}

class DiskAppendFile implements AppendFile {
  private isBusy = false;
  private isClosing = false;

  constructor(
    private readonly descriptor: number,
    private readonly path: string,
  ) {}

  append(bytes: Uint8Array, done: FileCallback): void {
    this.isBusy = true;
    this.writeAll(bytes, (error) => {
      this.isBusy = false;
      if (this.isClosing) closeSync(this.descriptor);
      done(error);
    });
  }

  /**
   * Closes the file after the write in progress. Closed earlier, the descriptor could be reused by another file or
   * connection that would then receive the rest of the write.
   */
  close(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    if (!this.isBusy) closeSync(this.descriptor);
  }

  private writeAll(bytes: Uint8Array, done: FileCallback): void {
    write(this.descriptor, bytes, 0, bytes.length, null, (error, written) => {
      if (error !== null) done(storageError(`write ${this.path}`, error));
      else if (written < bytes.length) this.writeAll(bytes.subarray(written), done);
      else this.sync(done);
    });
  }

  private sync(done: FileCallback): void {
    fdatasync(this.descriptor, (error) => {
      done(error === null ? undefined : storageError(`sync ${this.path}`, error));
    });
  }
}

export class DiskFiles implements StorageFiles {
  /** The last replacement of each file. */
  private readonly replacements = new Map<string, Promise<void>>();

  constructor(private readonly folder: string) {}

  createFolder(): void {
    try {
      mkdirSync(this.folder, { recursive: true });
    } catch (error) {
      throw storageError(`create the data folder ${this.folder}`, error);
    }
  }

  read(name: string): Uint8Array | undefined {
    try {
      return readFileSync(join(this.folder, name));
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw storageError(`read ${name}`, error);
    }
  }

  replace(name: string, bytes: Uint8Array, done: FileCallback): void {
    // One at a time: a replacement that a slow disk delays must not undo a later one.
    const previous = this.replacements.get(name) ?? Promise.resolve();
    const replacement = previous.then(() => this.writeAndRename(name, bytes));
    // A failure is reported by `done` alone.
    this.replacements.set(
      name,
      replacement.catch(() => undefined),
    );
    replacement.then(
      () => done(undefined),
      (error: unknown) => done(storageError(`replace ${name}`, error)),
    );
  }

  openAppend(name: string, size: number): AppendFile {
    const path = join(this.folder, name);
    let descriptor: number | undefined;
    try {
      // In append mode each write goes to the end of the file as it is after the truncation below.
      descriptor = openSync(path, 'a');
      ftruncateSync(descriptor, size);
      fsyncSync(descriptor);
      return new DiskAppendFile(descriptor, path);
    } catch (error) {
      if (descriptor !== undefined) closeSync(descriptor);
      throw storageError(`open ${path}`, error);
    }
  }

  private async writeAndRename(name: string, bytes: Uint8Array): Promise<void> {
    const path = join(this.folder, name);
    const temporaryPath = `${path}.new`;
    const file = await open(temporaryPath, 'w');
    try {
      await file.writeFile(bytes);
      await file.sync();
    } finally {
      await file.close();
    }
    await rename(temporaryPath, path);
    const folder = await open(this.folder, 'r');
    try {
      await folder.sync();
    } finally {
      await folder.close();
    }
  }
}
