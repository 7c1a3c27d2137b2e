/** Which entries of a log still count once others, or a snapshot, have come. Pure; the loader and the writer agree by it. */
import type { LogEntry, Snapshot } from './persisted-state.js';

/** Index and term of an entry. */
export interface LogPosition {
  readonly index: number;
  readonly term: number;
}

/** Where an empty log ends. */
export const LOG_ORIGIN: LogPosition = { index: 0, term: 0 };

/** Adds entries at the end of a log; what stands there from the first one's index on is replaced. */
export function truncateAndAppend(log: LogEntry[], added: readonly LogEntry[]): void {
  const first = added[0];
  if (first === undefined) return;
  while (log.length > 0 && log.at(-1)!.index >= first.index) log.pop();
  log.push(...added);
}

/** The entries that follow on a snapshot: none when the log does not agree with it. */
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
