/**
 * The log in memory: the entries after the last snapshot, and the replica sets that they declare. The same entries are on disk by
 * way of `storage/log-storage.ts`, or on their way to it.
 */
import type { LogEntry, ReplicaSet, Snapshot } from '../storage/persisted-state.js';

/** Entries kept behind a snapshot, so that a replica that is a little behind needs no snapshot. */
const CATCH_UP_ENTRIES = 500;

const NO_REPLICAS: ReplicaSet = { voters: [], learners: [] };

export class RaftLog {
  private entries: LogEntry[] = [];
  /** Index and term of the entry before the first one kept. */
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

  /** Index of the first entry that is kept. */
  get firstIndex(): number {
    return this.baseIndex + 1;
  }

  /** The last snapshot taken or received. */
  get snapshot(): Snapshot | undefined {
    return this.latestSnapshot;
  }

  /** The term of the entry at `index`; undefined when it is not kept or does not exist. */
  termAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.baseIndex - 1];
  }

  /** Up to `limit` entries from `index` on. */
  entriesFrom(index: number, limit: number): LogEntry[] {
    const start = index - this.baseIndex - 1;
    return this.entries.slice(start, start + limit);
  }

  /**
   * Adds entries that follow on a matching one. Entries that are there already are left; from the
   * first that differs on, the log is replaced.
   * @returns the entries that are new and must be written
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

  /** The replica set in force: the last one declared, whether committed or not. */
  get replicas(): ReplicaSet {
    return this.replicasAt(this.lastIndex);
  }

  /** Index of the last replica set declared; 0 when it stands in the snapshot. */
  get replicasIndex(): number {
    for (let at = this.entries.length - 1; at >= 0; at -= 1) {
      if (this.entries[at]!.payload.type === 'replicas') return this.entries[at]!.index;
    }
    return 0;
  }

  /** The replica set in force at an index. */
  replicasAt(index: number): ReplicaSet {
    for (let at = Math.min(index, this.lastIndex); at > this.baseIndex; at -= 1) {
      const { payload } = this.entryAt(at)!;
      if (payload.type === 'replicas') return payload.replicas;
    }
    return this.baseReplicas;
  }

  /** Whether a log that ends like this is at least as up to date as this one. */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm;
    return lastIndex >= this.lastIndex;
  }

  /** Records a snapshot of this replica's own state and drops old entries. */
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

  /** Replaces the log by a received snapshot, keeping entries that follow on it. */
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
