/**
 * A disk in virtual time. What was not synced when the machine crashes is lost in whole or in part,
 * as on a real one: of an append some leading bytes may remain, and a replacement whose folder was
 * not synced yet may stand or not.
 */
import type { Clock } from '../../../src/common/clock.js';
import { StorageError } from '../../../src/common/errors.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { AppendFile, FileCallback, StorageFiles } from '../../../src/storage/storage-files.js';

const SYNC_MIN_MS = 0.2;
const SYNC_SPREAD_MS = 3;

/** How the disk behaves. */
export interface SimDiskOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Lab only: a disk that says that a write is synced before it is. */
  readonly acknowledgesBeforeSync: boolean;
}

interface UnsyncedAppend {
  readonly name: string;
  readonly bytes: Uint8Array;
}

interface UnsyncedReplacement {
  readonly name: string;
  readonly bytes: Uint8Array;
}

export class SimDisk {
  private readonly synced = new Map<string, Buffer>();
  private appends: UnsyncedAppend[] = [];
  private replacements: UnsyncedReplacement[] = [];
  /** Counts crashes: operations of an earlier start end nowhere. */
  private incarnation = 0;
  /** Every write fails while the disk is full. */
  full = false;

  constructor(private readonly options: SimDiskOptions) {}

  /** The files as the process that now starts sees them. */
  mount(): StorageFiles {
    const { incarnation } = this;
    return {
      read: (name) => this.synced.get(name),
      replace: (name, bytes, done) => this.replace(incarnation, name, bytes, done),
      openAppend: (name, size) => this.openAppend(incarnation, name, size),
    };
  }

  /** The machine stops at once. */
  crash(): void {
    this.incarnation += 1;
    for (const { name, bytes } of this.appends) this.keepPrefix(name, bytes);
    for (const { name, bytes } of this.replacements) {
      if (this.options.random.next() < 0.5) this.synced.set(name, Buffer.from(bytes));
    }
    this.appends = [];
    this.replacements = [];
  }

  /** The disk is replaced by an empty one. Call after {@link crash}. */
  wipe(): void {
    this.synced.clear();
    this.full = false;
  }

  private keepPrefix(name: string, bytes: Uint8Array): void {
    const kept = this.options.random.below(bytes.length + 1);
    this.addSynced(name, bytes.subarray(0, kept));
  }

  private addSynced(name: string, bytes: Uint8Array): void {
    const before = this.synced.get(name) ?? Buffer.alloc(0);
    this.synced.set(name, Buffer.concat([before, bytes]));
  }

  private openAppend(incarnation: number, name: string, size: number): AppendFile {
    this.synced.set(name, (this.synced.get(name) ?? Buffer.alloc(0)).subarray(0, size));
    return {
      append: (bytes, done) => this.append(incarnation, name, bytes, done),
      close: () => undefined,
    };
  }

  private append(incarnation: number, name: string, bytes: Uint8Array, done: FileCallback): void {
    if (this.rejectsWrite(incarnation, done)) return;
    const unsynced: UnsyncedAppend = { name, bytes };
    this.appends.push(unsynced);
    this.afterSync(incarnation, done, () => {
      this.appends = this.appends.filter((other) => other !== unsynced);
      this.addSynced(name, bytes);
    });
  }

  private replace(incarnation: number, name: string, bytes: Uint8Array, done: FileCallback): void {
    if (this.rejectsWrite(incarnation, done)) return;
    const unsynced: UnsyncedReplacement = { name, bytes };
    this.replacements.push(unsynced);
    this.afterSync(incarnation, done, () => {
      this.replacements = this.replacements.filter((other) => other !== unsynced);
      this.synced.set(name, Buffer.from(bytes));
    });
  }

  private rejectsWrite(incarnation: number, done: FileCallback): boolean {
    if (!this.full) return incarnation !== this.incarnation;
    this.options.clock.schedule(0, () => {
      if (incarnation === this.incarnation) done(new StorageError('No space is left on the disk.'));
    });
    return true;
  }

  private afterSync(incarnation: number, done: FileCallback, sync: () => void): void {
    const { clock, random, acknowledgesBeforeSync } = this.options;
    const delayMs = SYNC_MIN_MS + SYNC_SPREAD_MS * random.next();
    if (acknowledgesBeforeSync)
      clock.schedule(0, () => this.runIfCurrent(incarnation, () => done(undefined)));
    clock.schedule(delayMs, () => {
      this.runIfCurrent(incarnation, () => {
        sync();
        if (!acknowledgesBeforeSync) done(undefined);
      });
    });
  }

  private runIfCurrent(incarnation: number, work: () => void): void {
    if (incarnation === this.incarnation) work();
  }
}
