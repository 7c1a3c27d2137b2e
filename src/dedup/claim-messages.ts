/** Messages between the nodes that claim keys and the replicas that store the claims. They are encoded as declared here. */

/** Progress of the call that holds a key. */
export type ClaimPhase = 'claimed' | 'answered';

/** A claim as it is sent to another replica. */
export interface ClaimRecord {
  readonly key: string;
  /** Id of the call that holds the key. */
  readonly callId: string;
  readonly phase: ClaimPhase;
  /** Milliseconds until the claim expires. */
  readonly remainingMs: number;
}

/** Claims a key for a call. Idempotent for the same call. */
export interface ClaimRequest {
  readonly type: 'claim';
  readonly epoch: number;
  readonly key: string;
  readonly callId: string;
}

/** Releases a key because its call is known not to have run. */
export interface ReleaseRequest {
  readonly type: 'release';
  readonly key: string;
  readonly callId: string;
}

/** Reports that the target answered the call. */
export interface AnsweredNotice {
  readonly type: 'answered';
  readonly key: string;
  readonly callId: string;
}

/**
 * Requests the claims that the sender has to store: in mode `restart` because it was restarted during the epoch, in mode
 * `transition` to take over from the replicas of the previous epoch.
 */
export interface PullRequest {
  readonly type: 'pull';
  readonly mode: 'restart' | 'transition';
  readonly epoch: number;
  readonly memberId: string;
  readonly incarnation: number;
}

/** Sent by a stopping node, which grants no more keys: its claims for which the receiver is a replica too. */
export interface HandoverRequest {
  readonly type: 'handover';
  readonly epoch: number;
  readonly memberId: string;
  readonly records: readonly ClaimRecord[];
}

export type ClaimMessage =
  ClaimRequest | ReleaseRequest | AnsweredNotice | PullRequest | HandoverRequest;

/** Latest incarnation of another replica that has pulled records from the sender. */
export interface KnownIncarnation {
  readonly memberId: string;
  readonly incarnation: number;
}

export interface GrantedReply {
  readonly type: 'granted';
  readonly memberId: string;
  readonly incarnation: number;
  /**
   * Incarnations of the key's replicas that have pulled records from the sender. A grant by another incarnation of such a
   * replica is invalid: the pull preceded this grant, so the restarted replica does not know this claim.
   */
  readonly known: readonly KnownIncarnation[];
}

/** Another call holds the key. */
export interface HeldReply {
  readonly type: 'held';
  readonly phase: ClaimPhase;
}

/** The replica currently cannot process the request. */
export interface UnavailableReply {
  readonly type: 'unavailable';
}

export interface RecordsReply {
  readonly type: 'records';
  readonly records: readonly ClaimRecord[];
  /** Members whose claims the sender may lack; undefined if it may lack any claim. */
  readonly missing: readonly string[] | undefined;
  /** Members that handed over all their claims to the sender and have not pulled records since. */
  readonly handedOver: readonly string[];
}

export interface DoneReply {
  readonly type: 'done';
}

export type ClaimReply = GrantedReply | HeldReply | UnavailableReply | RecordsReply | DoneReply;

/** Sends messages to the nodes of a service. */
export interface ClaimTransport {
  /**
   * Sends a message to a member.
   * @param onReply called once with the reply, or with undefined if there is none
   */
  request(
    memberId: string,
    message: ClaimMessage,
    onReply: (reply: ClaimReply | undefined) => void,
  ): void;
}
