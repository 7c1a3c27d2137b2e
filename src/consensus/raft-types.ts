/**
 * Messages of the replicated log: Raft as in Ongaro, "Consensus: Bridging Theory and Practice" (2014),
 * with pre-vote (section 9.6), check-quorum (6.2), read index (6.4), learners and one-at-a-time
 * membership changes (4.1, 4.2).
 */
import type { Replica, ReplicaSet, LogEntry, Snapshot } from '../storage/persisted-state.js';

interface MessageBase {
  /** The sender, whom an answer goes to whether or not it is in the receiver's replica set. */
  readonly from: Replica;
  readonly term: number;
}

/** Asks for a vote; with `preVote` only whether the vote would be given. */
export interface VoteRequest extends MessageBase {
  readonly type: 'vote-request';
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteResponse extends MessageBase {
  readonly type: 'vote-response';
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Replicates entries, or none as a heartbeat. */
export interface AppendRequest extends MessageBase {
  readonly type: 'append-request';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Counts heartbeat rounds, to confirm leadership for reads. */
  readonly round: number;
}

export interface AppendResponse extends MessageBase {
  readonly type: 'append-response';
  readonly success: boolean;
  /** On success the last index known to match; otherwise the highest index worth trying. */
  readonly matchIndex: number;
  readonly round: number;
}

/** Replaces the receiver's log up to the snapshot. Answered with an {@link AppendResponse}. */
export interface SnapshotRequest extends MessageBase {
  readonly type: 'snapshot-request';
  readonly snapshot: Snapshot;
  readonly round: number;
}

/** A follower asks the leader for an index that is safe to read at. */
export interface ReadRequest extends MessageBase {
  readonly type: 'read-request';
  readonly readId: number;
}

export interface ReadResponse extends MessageBase {
  readonly type: 'read-response';
  readonly readId: number;
  /** Index to wait for; undefined when the receiver does not lead. */
  readonly readIndex: number | undefined;
}

/** The sender is in no replica set and asks to be let in as a learner. */
export interface JoinRequest extends MessageBase {
  readonly type: 'join-request';
}

/** A leader that stops asks the receiver to stand for election at once, without a pre-vote. */
export interface ElectNow extends MessageBase {
  readonly type: 'elect-now';
}

/** A replica without a log asks what the others have. */
export interface ProbeRequest extends MessageBase {
  readonly type: 'probe-request';
}

export interface ProbeResponse extends MessageBase {
  readonly type: 'probe-response';
  readonly found: ProbeFinding;
}

/** What a replica's disk holds. */
export type ProbeFinding =
  /** No log. `promised` is the replica set that this disk has promised to form, if any. */
  | { readonly type: 'empty'; readonly promised: readonly Replica[] | undefined }
  /** A replica set that was formed, and no entry yet. */
  | { readonly type: 'formed'; readonly replicas: ReplicaSet }
  /** A log that has begun. */
  | { readonly type: 'log' };

export type RaftMessage =
  | VoteRequest
  | VoteResponse
  | AppendRequest
  | AppendResponse
  | SnapshotRequest
  | ReadRequest
  | ReadResponse
  | JoinRequest
  | ElectNow
  | ProbeRequest
  | ProbeResponse;

/** Where a message goes. */
export interface MessageTarget {
  readonly origin: string;
  /** The replica meant; a process of another identity drops the message. Empty for whoever runs. */
  readonly identity: string;
}

/** Sends messages to replicas. Messages may be lost, repeated and reordered. */
export interface RaftTransport {
  send(to: MessageTarget, message: RaftMessage): void;
}

/** The replicated state machine. */
export interface StateMachine {
  /** Applies a command and returns its result, which goes to the proposer. */
  apply(data: Uint8Array): unknown;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}
