/**
 * Transport interfaces of outbound calls and of gates: send one attempt and report its progress to a listener. The folders
 * `http` and `link` implement them with sockets, the simulator in memory.
 */
import type { EndpointRecord } from './endpoint.js';
import type { Outcome } from './outcome.js';

/** Why an attempt did not get a complete answer. */
export type AttemptFailureReason =
  /** No connection could be opened, or it was closed before the request was written. */
  | 'connect'
  /** The connection broke after the request was written and before the answer started. */
  | 'reset'
  /** The answer started but was not complete. */
  | 'broken-answer'
  /** The request body could not be read from the caller. */
  | 'caller-gone';

export interface AttemptFailure {
  readonly reason: AttemptFailureReason;
  /** Whether any part of the request may have reached the other side. */
  readonly written: boolean;
}

/** Why a response is not the answer of the target to the request. Only set for gates of sidecars. */
export type AnswerFault =
  /** The target states that it rejected the request without running it. */
  | 'not-executed'
  /** Another target now has this address; it did not run the request. */
  | 'misdirected'
  /** The response belongs to another request, or was not written by the target. */
  | 'foreign';

/** Status and metadata of an answer, available before its body. */
export interface AnswerHead {
  /** Set if this is not the answer of the target to the request. Only from sidecars. */
  readonly fault?: AnswerFault | undefined;
  /** Incarnation of the target that the request was meant for. Only from sidecars. */
  readonly expectedIncarnation?: string | undefined;
  readonly status: number;
  /** Outcome that the node reports; undefined if a target answers or if the header is missing. */
  readonly outcome: Outcome | undefined;
}

/** What to do with an answer that has started. */
export type HeadDecision =
  /** Forward it to the caller as it arrives. */
  | 'relay'
  /** Drop it; the attempt has ended. */
  | 'discard';

/** Receives the events of one attempt. None follows after `discard`, {@link onEnd} or {@link onFailure}. */
export interface AttemptListener {
  onHead(head: AnswerHead): HeadDecision;
  /** The complete answer was forwarded. */
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt in flight. */
export interface Attempt {
  /** Stops the attempt. The listener is not called any more. */
  cancel(): void;
  /** Whether any part of the request may have reached the other side. */
  readonly written: boolean;
}

/** Metadata sent with an attempt to a node. */
export interface AttemptMetadata {
  /** Number of retries that the callee and its downstream calls may use. */
  readonly retries: number;
  /** Whether an earlier attempt of the call may have reached a target. Only sent between sidecars. */
  readonly isRepeat: boolean;
  /**
   * Whether the call may run only once and can be sent to another target with room, so that a gate may turn it away while its
   * target is slowed down. Only sent between sidecars. Default false.
   */
  readonly isReroutable?: boolean;
}

/** Sends the attempts of one call to nodes. */
export interface OutboundTransport {
  /** Whether the request can be sent again from the start. */
  readonly replayable: boolean;
  send(endpoint: EndpointRecord, envelope: AttemptMetadata, listener: AttemptListener): Attempt;
}

/** Sends one call from a node to its target. */
export interface TargetTransport {
  send(listener: AttemptListener): Attempt;
}
