/**
 * A simulated disk. A crash loses unsynced writes in whole or in part, as on a real disk: a prefix of an
 * append may remain, and a file replacement whose folder was not synced may or may not be visible.
 */
import type { Clock } from '../../../src/common/clock.js';
import { StorageError } from '../../../src/common/errors.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { AppendFile, FileCallback, StorageFiles } from '../../../src/storage/storage-files.js';

const SYNC_MIN_MS = 0.2;
const SYNC_SPREAD_MS = 3;

export interface SimDiskOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Lab only: whether writes are acknowledged before they are synced. */
  readonly acknowledgesBeforeSync: boolean;
  /** Additional time of each sync, in milliseconds. Default 0. */
  readonly slownessMs?: number;
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
  /** Number of crashes. Operations of an earlier incarnation are dropped. */
  private incarnation = 0;
  /** Whether every write fails for lack of space. */
  full = false;

  constructor(private readonly options: SimDiskOptions) {}

  /** Opens the files for a process that starts now. */
  mount(): StorageFiles {
    const { incarnation } = this;
    return {
      createFolder: () => undefined,
      read: (name) => this.synced.get(name),
      replace: (name, bytes, done) => this.replace(incarnation, name, bytes, done),
      openAppend: (name, size) => this.openAppend(incarnation, name, size),
    };
  }

  /** Simulates a crash of the machine: unsynced writes are lost or partly kept. */
  crash(): void {
    this.incarnation += 1;
    for (const { name, bytes } of this.appends) this.keepPrefix(name, bytes);
    for (const { name, bytes } of this.replacements) {
      if (this.options.random.next() < 0.5) this.synced.set(name, Buffer.from(bytes));
    }
    this.appends = [];
    this.replacements = [];
  }

  /** Replaces the disk by an empty one. Call after {@link crash}. */
  wipe(): void {
    this.synced.clear();
    this.full = false;
  }

  private keepPrefix(name: string, bytes: Uint8Array): void {
    const kept = this.options.random.nextInt(bytes.length + 1);
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
    const delayMs = SYNC_MIN_MS + SYNC_SPREAD_MS * random.next() + (this.options.slownessMs ?? 0);
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
