/**
 * Reads and checks the log and the snapshot of a data folder. An incomplete last write is dropped; any other fault
 * marks the folder as damaged.
 */
import { decodeMessage } from '../common/message-codec.js';
import type { HardState, LogEntry, PersistedState, Snapshot } from './persisted-state.js';
import { entriesAfter, truncateAndAppend, type LogPosition } from './log-entries.js';
import { scanRecords } from './record-format.js';
import type { StorageFiles } from './storage-files.js';

export const LOG_FILE = 'log';
export const SNAPSHOT_FILE = 'snapshot';

/** One record of the log file. */
export type LogRecord =
  /** First record of the file: index and term of the entry before the first one in it. */
  | { readonly type: 'start'; readonly baseIndex: number; readonly baseTerm: number }
  | { readonly type: 'hard-state'; readonly state: HardState }
  /** Replaces all entries from the index of the first one on. */
  | { readonly type: 'entries'; readonly entries: readonly LogEntry[] };

/** Result of {@link loadLog}. */
export type LoadedLog =
  | {
      readonly type: 'loaded';
      readonly persisted: PersistedState;
      /** Length of the valid records in the log file, in bytes; an incomplete write may follow them. */
      readonly validBytes: number;
    }
  /** The reason is logged and shown by the `status` command. */
  | { readonly type: 'damaged'; readonly reason: string };

interface LogContents {
  hardState: HardState;
  base: LogPosition;
  entries: LogEntry[];
}

function damaged(reason: string): LoadedLog {
  return { type: 'damaged', reason };
}

/** Loads the log and the snapshot of a data folder. @throws StorageError if a file cannot be read */
export function loadLog(files: StorageFiles): LoadedLog {
  const logBytes = files.read(LOG_FILE);
  if (logBytes === undefined) return damaged('the log file is missing');
  const scan = scanRecords(logBytes);
  if (scan.end.type === 'damaged') {
    return damaged(`the log file: ${scan.end.reason}, at byte ${scan.end.offset}`);
  }
  const contents = readContents(scan.payloads);
  if (contents === undefined) return damaged('the log file does not begin as a log file');
  const snapshot = loadSnapshot(files);
  if (snapshot === 'damaged') return damaged('the snapshot file is damaged');
  if ((snapshot?.index ?? 0) < contents.base.index) {
    return damaged('the snapshot file is older than the log file');
  }
  const { hardState, base, entries } = contents;
  const kept = snapshot === undefined ? entries : entriesAfter(snapshot, entries, base);
  const persisted: PersistedState = { hardState, snapshot, entries: kept };
  return { type: 'loaded', persisted, validBytes: scan.validBytes };
}

function loadSnapshot(files: StorageFiles): Snapshot | undefined | 'damaged' {
  const bytes = files.read(SNAPSHOT_FILE);
  if (bytes === undefined) return undefined;
  const { payloads, end } = scanRecords(bytes);
  const [payload] = payloads;
  if (payload === undefined || payloads.length > 1 || end.type !== 'complete') return 'damaged';
  return decodeMessage<Snapshot>(payload);
}

function readContents(payloads: readonly Uint8Array[]): LogContents | undefined {
  const records = payloads.map((payload) => decodeMessage<LogRecord>(payload));
  const [start, ...rest] = records;
  if (start?.type !== 'start') return undefined;
  const contents: LogContents = {
    hardState: { term: 0, votedFor: '' },
    base: { index: start.baseIndex, term: start.baseTerm },
    entries: [],
  };
  for (const record of rest) applyRecord(contents, record);
  return contents;
}

function applyRecord(contents: LogContents, record: LogRecord): void {
  if (record.type === 'hard-state') contents.hardState = record.state;
  if (record.type === 'entries') truncateAndAppend(contents.entries, record.entries);
}
