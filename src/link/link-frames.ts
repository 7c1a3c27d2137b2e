/**
 * Frames of the link protocol, which multiplexes calls between sidecars over one TCP connection. docs/design/platform.md
 * compares it with one HTTP exchange per call.
 */
import type { Outcome } from '../call/outcome.js';
import type { RawHeaders } from '../http/header-filter.js';

/** Authenticates the connecting side. Must be its first frame. */
export interface HelloFrame {
  readonly type: 'hello';
  /** Link token of the deployment. */
  readonly token: string;
}

/** Context of a call. Times are remaining durations in milliseconds. */
export interface CallFrameContext {
  readonly requestId: string;
  readonly kind: string;
  readonly importance: number;
  readonly service: string;
  readonly deadlineMs: number;
  readonly waitMs: number;
  /** Time within which a response meets the latency objective. */
  readonly objectiveMs: number;
  readonly retries: number;
  /** Whether an earlier attempt of the call may have reached a target. */
  readonly isRepeat: boolean;
  /** Estimated probability, from 0 to 1 in steps of 0.01, that the request that made this call was itself a repeat. */
  readonly inheritedShare: number;
  /** Time before the deadline at which the target should stop, so that its response still arrives. */
  readonly answerMarginMs: number;
  /** Identifies repeats of the same request. Empty if the sender's version does not support it. */
  readonly fingerprint: string;
  /** Rank of the caller's group, 0 being the most urgent. 0 if the sender's version does not support it. */
  readonly groupRank: number;
  /** Time that the client spent on its own earlier attempts. 0 if the sender's version does not support it. */
  readonly clientWaitedMs: number;
  /** Whether the sender can send the call to another target. False if the sender's version does not support it. */
  readonly isReroutable: boolean;
}

/** Starts a call. */
export interface CallFrame {
  readonly type: 'call';
  /** Identifies the call on this connection. Assigned by the connecting side. */
  readonly id: number;
  readonly context: CallFrameContext;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  /** The complete body, or null if there is none. Absent if the body follows in data frames. */
  readonly body?: Buffer | null;
}

/** A complete response in one frame, which is cheaper than head, data and end frames. */
export interface AnswerFrame {
  readonly type: 'answer';
  readonly id: number;
  readonly status: number;
  readonly headers: RawHeaders;
  readonly outcome: Outcome;
  readonly body: Buffer;
}

/** Status and headers of a response whose body follows in data frames. */
export interface HeadFrame {
  readonly type: 'head';
  readonly id: number;
  readonly status: number;
  readonly headers: RawHeaders;
  readonly outcome: Outcome;
}

/** Sent instead of a response if the gate refuses the call or the target did not respond. */
export interface RefusedFrame {
  readonly type: 'refused';
  readonly id: number;
  readonly outcome: Outcome;
}

/** A chunk of a request or response body. */
export interface DataFrame {
  readonly type: 'data';
  readonly id: number;
  readonly bytes: Buffer;
}

/** The end of a request or response body. */
export interface EndFrame {
  readonly type: 'end';
  readonly id: number;
}

/** The body was aborted before its end. */
export interface BrokenFrame {
  readonly type: 'broken';
  readonly id: number;
}

/** Cancels a call, because its caller no longer needs the response. */
export interface CancelFrame {
  readonly type: 'cancel';
  readonly id: number;
}

/** Acknowledges consumed body bytes, which reopens the sender's window. */
export interface TakenFrame {
  readonly type: 'taken';
  readonly id: number;
  /** Bytes consumed since the previous acknowledgement. */
  readonly bytes: number;
}

/** Heartbeat request. Answered by a {@link PongFrame}. */
export interface PingFrame {
  readonly type: 'ping';
}

export interface PongFrame {
  readonly type: 'pong';
}

/** Frames that belong to one call. */
export type StreamFrame =
  | CallFrame
  | AnswerFrame
  | HeadFrame
  | RefusedFrame
  | DataFrame
  | EndFrame
  | BrokenFrame
  | CancelFrame
  | TakenFrame;

export type LinkFrame = StreamFrame | HelloFrame | PingFrame | PongFrame;

/** Maximum unacknowledged bytes of a body, which bounds the memory that one call buffers on either side. */
export const BODY_WINDOW_BYTES = 256 * 1024;
