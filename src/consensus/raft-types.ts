/**
 * Messages and interfaces of the Raft implementation, which follows Ongaro, "Consensus: Bridging Theory and Practice"
 * (2014): leader election with pre-vote (section 9.6) and check quorum (6.2), linearizable reads by read index (6.4),
 * and membership changes of one server at a time, with learners (4.1, 4.2).
 */
import type { Replica, ReplicaSet, LogEntry, Snapshot } from '../storage/persisted-state.js';
import type { AcceptedSet, Ballot } from './formation.js';

interface MessageBase {
  /** The sender. Responses go to it even if it is not in the receiver's replica set. */
  readonly from: Replica;
  readonly term: number;
}

/** Requests a vote or, with `preVote`, asks whether the receiver would grant one. */
export interface VoteRequest extends MessageBase {
  readonly type: 'vote-request';
  readonly preVote: boolean;
  /** Index and term of the candidate's last log entry. */
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface VoteResponse extends MessageBase {
  readonly type: 'vote-response';
  readonly preVote: boolean;
  readonly granted: boolean;
}

/** Replicates log entries; without entries it is a heartbeat. Raft's AppendEntries. */
export interface AppendRequest extends MessageBase {
  readonly type: 'append-request';
  /** Index and term of the entry that precedes `entries`. */
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Number of the heartbeat round. A majority that answers it confirms the leader for reads. */
  readonly round: number;
}

export interface AppendResponse extends MessageBase {
  readonly type: 'append-response';
  readonly success: boolean;
  /** On success the last index that matches the leader's log; otherwise the highest index that may match. */
  readonly matchIndex: number;
  readonly round: number;
}

/**
 * Replaces the receiver's log up to the snapshot's index. Answered with an {@link AppendResponse}. Raft's
 * InstallSnapshot, in a single message.
 */
export interface SnapshotRequest extends MessageBase {
  readonly type: 'snapshot-request';
  readonly snapshot: Snapshot;
  readonly round: number;
}

/** Asks the leader for a read index on behalf of a follower. */
export interface ReadRequest extends MessageBase {
  readonly type: 'read-request';
  readonly readId: number;
}

export interface ReadResponse extends MessageBase {
  readonly type: 'read-response';
  readonly readId: number;
  /** Index to apply before the read is served; undefined if the receiver is not the confirmed leader. */
  readonly readIndex: number | undefined;
}

/** Asks to be added to the replica set as a learner. */
export interface JoinRequest extends MessageBase {
  readonly type: 'join-request';
}

/**
 * Sent by a leader that shuts down: the receiver starts an election at once, without a pre-vote. Raft's TimeoutNow.
 */
export interface ElectNow extends MessageBase {
  readonly type: 'elect-now';
}

/** Sent by a replica with an empty log to find out what the other replicas have stored. */
export interface ProbeRequest extends MessageBase {
  readonly type: 'probe-request';
}

export interface ProbeResponse extends MessageBase {
  readonly type: 'probe-response';
  readonly found: ProbeFinding;
}

/** What a replica has on disk. */
export type ProbeFinding =
  /** No log. `promised` is the replica set that the replica has promised to form, if any. */
  | { readonly type: 'empty'; readonly promised: readonly Replica[] | undefined }
  /** No log and no say in forming a replica set: the replica waits to be added to one. */
  | { readonly type: 'joining' }
  /** A replica set was formed, but the log has no entries yet. */
  | { readonly type: 'formed'; readonly replicas: ReplicaSet }
  /** The log has entries. */
  | { readonly type: 'log' };

/** Message about a ballot of the formation of the initial replica set. See `formation.ts`. */
interface FormationBase extends MessageBase {
  readonly ballot: Ballot;
  /** Origins of the acceptors that the sender knows of. Counts only if the receiver knows of the same. */
  readonly acceptors: readonly string[];
}

/** Asks an acceptor to refuse all lower ballots. Paxos' phase 1a. */
export interface FormPrepare extends FormationBase {
  readonly type: 'form-prepare';
}

/** Paxos' phase 1b. */
export interface FormPromise extends FormationBase {
  readonly type: 'form-promise';
  /** The set that the acceptor has accepted last, if any. */
  readonly accepted: AcceptedSet | undefined;
}

/** Asks an acceptor to accept a replica set. Paxos' phase 2a. */
export interface FormAccept extends FormationBase {
  readonly type: 'form-accept';
  readonly replicas: ReplicaSet;
}

/** Paxos' phase 2b. */
export interface FormAccepted extends FormationBase {
  readonly type: 'form-accepted';
}

/** Refuses a prepare or accept request. */
export interface FormRefusal extends FormationBase {
  readonly type: 'form-refusal';
  /** The ballot that the acceptor has promised. */
  readonly promised: Ballot;
}

export type FormationMessage = FormPrepare | FormPromise | FormAccept | FormAccepted | FormRefusal;

export type RaftMessage =
  | FormationMessage
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

/** Destination of a message. */
export interface MessageTarget {
  readonly origin: string;
  /** Identity of the receiver; a replica with another identity drops the message. Empty for any identity. */
  readonly identity: string;
}

/** Sends messages to replicas. Messages may be lost, duplicated or reordered. */
export interface RaftTransport {
  send(to: MessageTarget, message: RaftMessage): void;
}

/** The replicated state machine. */
export interface StateMachine {
  /** Applies a command. The result is returned to the proposer. */
  apply(data: Uint8Array): unknown;
  takeSnapshot(): Uint8Array;
  restoreSnapshot(data: Uint8Array): void;
}
