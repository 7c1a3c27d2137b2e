/** What a replica keeps on its disk, and how it is written. */

/**
 * One replica of the log. The identity is drawn when its disk is first written, so a replica that
 * lost its disk comes back as someone else and cannot vote twice under one name.
 */
export interface Replica {
  readonly identity: string;
  /** The `id` in the settings; stays when a disk is replaced. */
  readonly name: string;
  readonly origin: string;
  /** What it is to become once it has caught up. A learner holds a copy and never votes. */
  readonly role: 'voter' | 'learner';
}

/** Who replicates the log. Only voters count for a quorum. */
export interface ReplicaSet {
  readonly voters: readonly Replica[];
  readonly learners: readonly Replica[];
}

/** What an entry holds. */
export type EntryPayload =
  /** The first entry of a leader's term, unless the log is empty: then it is `replicas`. */
  | { readonly type: 'noop' }
  | { readonly type: 'command'; readonly data: Uint8Array }
  | { readonly type: 'replicas'; readonly replicas: ReplicaSet };

/** One entry of the log. Indices start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: EntryPayload;
}

/** What must be on disk before a vote or a new term is acted on. */
export interface HardState {
  readonly term: number;
  /** Identity voted for in `term`; empty when none. */
  readonly votedFor: string;
}

/** The state machine at one index, in place of all entries up to it. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  readonly data: Uint8Array;
}

/** Everything that a replica finds on its disk when it starts. */
export interface PersistedState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/** Called at the end of a write: undefined once it is synced, or why it failed. */
export type StorageCallback = (error: Error | undefined) => void;

/**
 * The disk of one replica. Writes are done in order, and a callback means that this write and all
 * before it are synced.
 */
export interface RaftStorage {
  saveHardState(state: HardState, done: StorageCallback): void;
  /**
   * Replaces everything from the first entry's index on. With no entries it only waits for the
   * writes before it.
   */
  appendEntries(entries: readonly LogEntry[], done: StorageCallback): void;
  /** Saves a snapshot and drops the entries up to its index. */
  saveSnapshot(snapshot: Snapshot, done: StorageCallback): void;
}
