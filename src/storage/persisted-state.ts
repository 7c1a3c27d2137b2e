/** The state that a Raft replica persists, and the interface to write it. */

/**
 * One replica of the log. Its identity is generated with the data folder, so a replica that lost its data gets a new one
 * and cannot vote a second time in a term.
 */
export interface Replica {
  readonly identity: string;
  /** The `id` in the settings; does not change when the data folder is recreated. */
  readonly name: string;
  readonly origin: string;
  /** Role once the replica has caught up. A learner receives the log and never votes. */
  readonly role: 'voter' | 'learner';
}

/** The replicas of the log. Only voters count towards a quorum. */
export interface ReplicaSet {
  readonly voters: readonly Replica[];
  readonly learners: readonly Replica[];
}

/** Contents of a log entry. */
export type EntryPayload =
  /** First entry of a leader's term; in an empty log the first entry is `replicas` instead. */
  | { readonly type: 'noop' }
  | { readonly type: 'command'; readonly data: Uint8Array }
  | { readonly type: 'replicas'; readonly replicas: ReplicaSet };

/** A log entry. Indices start at 1. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: EntryPayload;
}

/** State that must be on disk before the replica acts on a vote or a new term. */
export interface HardState {
  readonly term: number;
  /** Identity of the replica voted for in `term`; empty if none. */
  readonly votedFor: string;
}

/** State of the state machine at `index`; replaces all entries up to it. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly replicas: ReplicaSet;
  readonly data: Uint8Array;
}

/** The state that a replica loads when it starts. */
export interface PersistedState {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  readonly entries: readonly LogEntry[];
}

/** Called with undefined once a write is synced, or with the error of the write. */
export type StorageCallback = (error: Error | undefined) => void;

/** Persistent storage of one replica. Writes run in order: when one succeeds, all before it are synced as well. */
export interface RaftStorage {
  saveHardState(state: HardState, done: StorageCallback): void;
  /** Replaces all entries from the index of the first one on. Without entries it only waits for the writes before it. */
  appendEntries(entries: readonly LogEntry[], done: StorageCallback): void;
  /** Saves a snapshot and removes the entries up to its index. */
  saveSnapshot(snapshot: Snapshot, done: StorageCallback): void;
}
