/**
 * {@link RaftStorage} in two files: `snapshot`, which is replaced atomically, and `log`, a file of checksummed records that
 * grows until the next snapshot. Writes run in order, and records that are queued during a sync are written together.
 * After a failed write all later ones fail with the same error.
 */
import { encodeMessage } from '../common/message-codec.js';
import type {
  HardState,
  LogEntry,
  PersistedState,
  RaftStorage,
  Snapshot,
  StorageCallback,
} from './persisted-state.js';
import { entriesAfter, LOG_ORIGIN, truncateAndAppend, type LogPosition } from './log-entries.js';
import { encodeRecord } from './record-format.js';
import { loadLog, LOG_FILE, SNAPSHOT_FILE, type LogRecord } from './load-log.js';
import type { AppendFile, StorageFiles } from './storage-files.js';

interface PendingRecord {
  readonly type: 'record';
  /** Undefined if the caller only waits for the writes before it. */
  readonly record: LogRecord | undefined;
  readonly done: StorageCallback;
}

interface PendingSnapshot {
  readonly type: 'snapshot';
  readonly snapshot: Snapshot;
  readonly done: StorageCallback;
}

type PendingWrite = PendingRecord | PendingSnapshot;

/** Encodes the contents of a new log file. */
function encodeLog(
  base: LogPosition,
  hardState: HardState,
  entries: readonly LogEntry[],
): Uint8Array {
  const records: LogRecord[] = [
    { type: 'start', baseIndex: base.index, baseTerm: base.term },
    { type: 'hard-state', state: hardState },
  ];
  if (entries.length > 0) records.push({ type: 'entries', entries });
  return Buffer.concat(records.map(encodeLogRecord));
}

/** Result of {@link LogStorage.open}: the storage and its contents, or why the files are damaged. */
export type OpenLogResult =
  | { readonly type: 'opened'; readonly storage: LogStorage; readonly persisted: PersistedState }
  | { readonly type: 'damaged'; readonly reason: string };

function encodeLogRecord(record: LogRecord): Uint8Array {
  return encodeRecord(encodeMessage(record));
}

export class LogStorage implements RaftStorage {
  private hardState: HardState;
  private snapshot: Snapshot | undefined;
  /** Entries in the log file that follow {@link snapshot}. */
  private entries: LogEntry[];
  private readonly queue: PendingWrite[] = [];
  private isWriting = false;
  private isClosed = false;
  /** Error of the first write that failed. */
  private failure: Error | undefined;

  private constructor(
    private readonly files: StorageFiles,
    private file: AppendFile,
    persisted: PersistedState,
  ) {
    this.hardState = persisted.hardState;
    this.snapshot = persisted.snapshot;
    this.entries = [...persisted.entries];
  }

  /** Opens the log of a data folder. The log file must exist; {@link LogStorage.create} creates it. */
  static open(files: StorageFiles): OpenLogResult {
    const loaded = loadLog(files);
    if (loaded.type === 'damaged') return loaded;
    const file = files.openAppend(LOG_FILE, loaded.validBytes);
    const storage = new LogStorage(files, file, loaded.persisted);
    return { type: 'opened', storage, persisted: loaded.persisted };
  }

  /** Creates an empty log file. */
  static create(files: StorageFiles, done: StorageCallback): void {
    const start = encodeLogRecord({ type: 'start', baseIndex: 0, baseTerm: 0 });
    files.replace(LOG_FILE, start, done);
  }

  /** Replaces the log file by one with the same contents. Calls back without writing if the files are damaged. */
  static rewrite(files: StorageFiles, done: StorageCallback): void {
    const loaded = loadLog(files);
    if (loaded.type === 'damaged') {
      done(undefined);
      return;
    }
    const { hardState, snapshot, entries } = loaded.persisted;
    const base = snapshot ?? LOG_ORIGIN;
    files.replace(LOG_FILE, encodeLog(base, hardState, entries), done);
  }

  saveHardState(state: HardState, done: StorageCallback): void {
    this.enqueue({ type: 'record', record: { type: 'hard-state', state }, done });
  }

  appendEntries(entries: readonly LogEntry[], done: StorageCallback): void {
    const record: LogRecord | undefined =
      entries.length === 0 ? undefined : { type: 'entries', entries };
    this.enqueue({ type: 'record', record, done });
  }

  saveSnapshot(snapshot: Snapshot, done: StorageCallback): void {
    this.enqueue({ type: 'snapshot', snapshot, done });
  }

  /**
   * Closes the log file. Queued writes are dropped without running their callbacks, as in a crash: by then the system may
   * have reused the file descriptor.
   */
  close(): void {
    this.isClosed = true;
    this.file.close();
  }

  private enqueue(pending: PendingWrite): void {
    this.queue.push(pending);
    if (!this.isWriting) this.writeNext();
  }

  private writeNext(): void {
    const first = this.queue[0];
    if (first === undefined || this.isClosed) return;
    if (this.failure !== undefined) {
      this.completeWrites([this.queue.shift()!], this.failure);
      return;
    }
    this.isWriting = true;
    if (first.type === 'snapshot') {
      this.queue.shift();
      this.writeSnapshot(first);
    } else this.writeRecords(this.dequeueRecords());
  }

  /** Removes the records before the next snapshot from the queue. */
  private dequeueRecords(): PendingRecord[] {
    const taken: PendingRecord[] = [];
    while (this.queue[0]?.type === 'record') taken.push(this.queue.shift() as PendingRecord);
    return taken;
  }

  private writeRecords(pending: readonly PendingRecord[]): void {
    const records = pending.flatMap((write) => write.record ?? []);
    if (records.length === 0) {
      this.completeWrites(pending, undefined);
      return;
    }
    for (const record of records) this.applyRecord(record);
    const bytes = Buffer.concat(records.map(encodeLogRecord));
    this.file.append(bytes, (error) => this.completeWrites(pending, error));
  }

  private applyRecord(record: LogRecord): void {
    if (record.type === 'hard-state') this.hardState = record.state;
    if (record.type === 'entries') truncateAndAppend(this.entries, record.entries);
  }

  private writeSnapshot(pending: PendingSnapshot): void {
    const { snapshot } = pending;
    this.files.replace(SNAPSHOT_FILE, encodeRecord(encodeMessage(snapshot)), (error) => {
      // If the storage was closed meanwhile, the log can stay as it is: a log older than the snapshot is valid.
      if (error !== undefined || this.isClosed) this.completeWrites([pending], error);
      else this.rewriteLog(pending);
    });
  }

  /** Replaces the log file by one that starts after the snapshot. */
  private rewriteLog(pending: PendingSnapshot): void {
    const { snapshot } = pending;
    this.entries = entriesAfter(snapshot, this.entries, this.snapshot ?? LOG_ORIGIN);
    this.snapshot = snapshot;
    const bytes = encodeLog(snapshot, this.hardState, this.entries);
    this.files.replace(LOG_FILE, bytes, (error) => {
      this.completeWrites([pending], error ?? this.reopenFile(bytes.length));
    });
  }

  /** Opens the log file that has replaced the former one. @returns the error, if any */
  private reopenFile(size: number): Error | undefined {
    if (this.isClosed) return undefined;
    try {
      const file = this.files.openAppend(LOG_FILE, size);
      this.file.close();
      this.file = file;
      return undefined;
    } catch (error) {
      return error as Error;
    }
  }

  private completeWrites(pending: readonly PendingWrite[], error: Error | undefined): void {
    this.isWriting = false;
    this.failure ??= error;
    for (const write of pending) write.done(this.failure);
    if (!this.isWriting) this.writeNext();
  }
}
