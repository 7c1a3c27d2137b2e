/** Computes which log entries remain after new entries or a snapshot. Used both to load and to write a log. */
import type { LogEntry, Snapshot } from './persisted-state.js';

/** Index and term of a log entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** Position before the first entry of a log that has no snapshot. */
export const LOG_ORIGIN: LogPosition = { index: 0, term: 0 };

/** Appends `added` to `log`, after removing the entries whose index is not below that of the first added one. */
export function truncateAndAppend(log: LogEntry[], added: readonly LogEntry[]): void {
  const first = added[0];
  if (first === undefined) return;
  while (log.length > 0 && log.at(-1)!.index >= first.index) log.pop();
  log.push(...added);
}

/**
 * Returns the entries after a snapshot, or none if the term at the snapshot's index differs: then the entries conflict
 * with the snapshot.
 * @param base position of the entry before the first of `entries`
 */
export function entriesAfter(
  snapshot: Snapshot,
  entries: readonly LogEntry[],
  base: LogPosition,
): LogEntry[] {
  const atSnapshot = entries.find((entry) => entry.index === snapshot.index)?.term;
  const term = snapshot.index === base.index ? base.term : atSnapshot;
  if (term !== snapshot.term) return [];
  return entries.filter((entry) => entry.index > snapshot.index);
}
