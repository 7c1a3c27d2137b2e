/**
 * What an outgoing call and a gate need from below: sending one attempt and hearing how it goes. `http` and `link` implement
 * it with sockets, the simulator with virtual links. Types alone.
 */
import type { EndpointRecord } from './endpoint.js';
import type { Outcome } from './outcome.js';

/** Why an attempt brought no whole answer. */
export type AttemptFailureReason =
  /** No connection could be opened, or it was closed before the request was written. */
  | 'connect'
  /** The connection broke after the request was written and before the answer began. */
  | 'reset'
  /** The answer began and broke off. */
  | 'broken-answer'
  /** The request body could not be read from the caller. */
  | 'caller-gone';

/** A failed attempt. */
export interface AttemptFailure {
  readonly reason: AttemptFailureReason;
  /** Whether any part of the request may have reached the other side. */
  readonly written: boolean;
}

/** Why what came back is not the target's answer to the request. Only gates of sidecars judge that. */
export type AnswerFault =
  /** The target says that it turned the request away without running it. */
  | 'not-executed'
  /** Another target has the address; it did not run the request. */
  | 'misdirected'
  /** It belongs to another request, or is not what the target wrote. */
  | 'foreign';

/** The start of an answer. */
export interface AnswerHead {
  /** Set by sidecars where this is not the target's answer to the request. */
  readonly fault?: AnswerFault | undefined;
  /** Name of the incarnation of the target that was to answer; set by sidecars. */
  readonly expectedIncarnation?: string | undefined;
  readonly status: number;
  /** The node's outcome; undefined from a target, or when the header was missing. */
  readonly outcome: Outcome | undefined;
}

/** What to do with an answer that has begun. */
export type HeadDecision =
  /** Pass it on to the caller as it arrives. */
  | 'relay'
  /** Drop it; the attempt counts as over. */
  | 'discard';

/** Hears about one attempt. After `discard`, {@link onEnd} or {@link onFailure} nothing follows. */
export interface AttemptListener {
  onHead(head: AnswerHead): HeadDecision;
  /** The whole answer was passed on. */
  onEnd(): void;
  onFailure(failure: AttemptFailure): void;
}

/** An attempt under way. */
export interface Attempt {
  /** Stops the attempt. The listener hears nothing more. */
  cancel(): void;
  /** Whether any part of the request may have reached the other side. */
  readonly written: boolean;
}

/** What is sent along with an attempt to a node. */
export interface AttemptEnvelope {
  /** Retries lent with the attempt. */
  readonly retries: number;
  /** Whether an earlier attempt of the call may have arrived at a target. Sent on between sidecars alone. */
  readonly isRepeat: boolean;
}

/** Sends attempts of one call to nodes. */
export interface OutboundTransport {
  /** Whether the request can be sent again from the start. */
  readonly replayable: boolean;
  send(endpoint: EndpointRecord, envelope: AttemptEnvelope, listener: AttemptListener): Attempt;
}

/** Sends one call from a node to its target. */
export interface TargetTransport {
  send(listener: AttemptListener): Attempt;
}
