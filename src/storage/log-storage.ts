/**
 * The disk of one replica: a `snapshot` file that is replaced atomically, and a `log` file of
 * checksummed records that grows until the next snapshot. Writes are done in order; those that come
 * while a sync is under way share the next one. After a write that failed all others fail: it owns the queue and that failure.
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
import { entriesAfter, LOG_ORIGIN, truncateAndAppend, type LogPosition } from './entries-after.js';
import { encodeRecord } from './record-format.js';
import { loadLog, LOG_FILE, SNAPSHOT_FILE, type LogRecord } from './load-log.js';
import type { AppendFile, StorageFiles } from './storage-files.js';

interface PendingRecord {
  readonly type: 'record';
  /** Undefined for a wait for the writes before it. */
  readonly record: LogRecord | undefined;
  readonly done: StorageCallback;
}

interface PendingSnapshot {
  readonly type: 'snapshot';
  readonly snapshot: Snapshot;
  readonly done: StorageCallback;
}

type PendingWrite = PendingRecord | PendingSnapshot;

/** A whole log file. */
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

/** A log that could be opened, with what it holds; or why it can't be trusted. */
export type OpenedLog =
  | { readonly type: 'opened'; readonly storage: LogStorage; readonly persisted: PersistedState }
  | { readonly type: 'damaged'; readonly reason: string };

function encodeLogRecord(record: LogRecord): Uint8Array {
  return encodeRecord(encodeMessage(record));
}

export class LogStorage implements RaftStorage {
  private hardState: HardState;
  /** The snapshot on disk, and the entries that the log file holds after it. */
  private snapshot: Snapshot | undefined;
  private entries: LogEntry[];
  private readonly queue: PendingWrite[] = [];
  private isWriting = false;
  private isClosed = false;
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

  /** Opens the log of a data folder. The log file must exist: see {@link LogStorage.create}. */
  static open(files: StorageFiles): OpenedLog {
    const loaded = loadLog(files);
    if (loaded.type === 'damaged') return loaded;
    const file = files.openAppend(LOG_FILE, loaded.validBytes);
    const storage = new LogStorage(files, file, loaded.persisted);
    return { type: 'opened', storage, persisted: loaded.persisted };
  }

  /** Creates an empty log. */
  static create(files: StorageFiles, done: StorageCallback): void {
    const start = encodeLogRecord({ type: 'start', baseIndex: 0, baseTerm: 0 });
    files.replace(LOG_FILE, start, done);
  }

  /** Writes the log file anew with what it holds. Calls back with nothing done if it is damaged. */
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
   * Closes the files. Writes that have not begun are dropped without a call back, as in a crash: their descriptor may belong
   * to another file or connection by then.
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

  /** Takes the records at the head of the queue, up to the next snapshot. */
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
      // A log that is older than the snapshot is read as well: it may stay where the storage was closed meanwhile.
      if (error !== undefined || this.isClosed) this.completeWrites([pending], error);
      else this.rewriteLog(pending);
    });
  }

  /** Starts the log file anew after the snapshot. */
  private rewriteLog(pending: PendingSnapshot): void {
    const { snapshot } = pending;
    this.entries = entriesAfter(snapshot, this.entries, this.snapshot ?? LOG_ORIGIN);
    this.snapshot = snapshot;
    const bytes = encodeLog(snapshot, this.hardState, this.entries);
    this.files.replace(LOG_FILE, bytes, (error) => {
      if (error === undefined && !this.isClosed) {
        this.file.close();
        this.file = this.files.openAppend(LOG_FILE, bytes.length);
      }
      this.completeWrites([pending], error);
    });
  }

  private completeWrites(pending: readonly PendingWrite[], error: Error | undefined): void {
    this.isWriting = false;
    this.failure ??= error;
    for (const write of pending) write.done(this.failure);
    if (!this.isWriting) this.writeNext();
  }
}
