/**
 * The in-memory Raft log: recent entries and the replica sets that they contain. `storage/log-storage.ts` writes the
 * same entries to disk.
 */
import type { LogEntry, ReplicaSet, Snapshot } from '../storage/persisted-state.js';

/** Entries kept before the latest snapshot, so that a replica that lags slightly does not need a snapshot. */
const CATCH_UP_ENTRIES = 500;

const NO_REPLICAS: ReplicaSet = { voters: [], learners: [] };

export class RaftLog {
  private entries: LogEntry[] = [];
  /** Index and term of the entry before the first one in memory. */
  private baseIndex = 0;
  private baseTerm = 0;
  private baseReplicas: ReplicaSet = NO_REPLICAS;
  private latestSnapshot: Snapshot | undefined;

  constructor(snapshot: Snapshot | undefined, entries: readonly LogEntry[]) {
    if (snapshot !== undefined) this.adoptSnapshot(snapshot);
    this.entries = entries.filter((entry) => entry.index > this.baseIndex);
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  /** Index of the first entry in memory. */
  get firstIndex(): number {
    return this.baseIndex + 1;
  }

  /** The latest snapshot, taken here or received from the leader. */
  get snapshot(): Snapshot | undefined {
    return this.latestSnapshot;
  }

  /** Whether the log holds a command, or did before it was compacted. */
  get hasCommands(): boolean {
    return this.baseIndex > 0 || this.entries.some(({ payload }) => payload.type === 'command');
  }

  /** Term of the entry at `index`; undefined if the entry was compacted or does not exist. */
  termAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /** Returns up to `limit` entries, starting at `index`. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.baseIndex - 1;
    return this.entries.slice(start, start + limit);
  }

  /**
   * Appends entries whose predecessor matches this log. Entries that are already present are skipped; from the first
   * conflicting one on, the log is truncated and replaced.
   * @returns the entries that were added and have to be written to disk
   */
  merge(entries: readonly LogEntry[]): LogEntry[] {
    const firstNew = entries.findIndex(
      (entry) => entry.index > this.baseIndex && this.termAt(entry.index) !== entry.term,
    );
    if (firstNew < 0) return [];
    const added = entries.slice(firstNew);
    this.entries.length = added[0]!.index - this.baseIndex - 1;
    this.entries.push(...added);
    return added;
  }

  /** The current replica set: the latest one in the log, whether committed or not. */
  get replicas(): ReplicaSet {
    return this.replicasAt(this.lastIndex);
  }

  /** Index of the latest entry with a replica set; 0 if there is none in memory. */
  get replicasIndex(): number {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      if (this.entries[at]!.payload.type === 'replicas') return this.entries[at]!.index;
    }
    return 0;
  }

  /** Returns the replica set as of the given index. */
  replicasAt(index: number): ReplicaSet {
    for (let at = Math.min(index, this.lastIndex); at > this.baseIndex; at -= 1) {
      const { payload } = this.entryAt(at)!;
      if (payload.type === 'replicas') return payload.replicas;
    }
    return this.baseReplicas;
  }

  /** Whether a log with the given last index and term is at least as up to date as this one. */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm;
    return lastIndex >= this.lastIndex;
  }

  /** Records a snapshot taken by this replica and discards older entries. */
  compact(snapshot: Snapshot): void {
    this.latestSnapshot = snapshot;
    const newBase = Math.max(this.baseIndex, snapshot.index - CATCH_UP_ENTRIES);
    if (newBase === this.baseIndex) return;
    const term = this.termAt(newBase)!;
    const replicas = this.replicasAt(newBase);
    this.entries = this.entries.slice(newBase - this.baseIndex);
    this.baseIndex = newBase;
    this.baseTerm = term;
    this.baseReplicas = replicas;
  }

  /** Replaces the log by a snapshot received from the leader. Entries after it are kept if they match. */
  installSnapshot(snapshot: Snapshot): void {
    const matches = this.termAt(snapshot.index) === snapshot.term;
    const kept = matches ? this.entriesFrom(snapshot.index + 1, Infinity) : [];
    this.adoptSnapshot(snapshot);
    this.entries = kept;
  }

  private adoptSnapshot(snapshot: Snapshot): void {
    this.latestSnapshot = snapshot;
    this.baseIndex = snapshot.index;
    this.baseTerm = snapshot.term;
    this.baseReplicas = snapshot.replicas;
    this.entries = [];
  }
}
