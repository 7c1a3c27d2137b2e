/**
 * The messages between sidecars, many calls at a time over one TCP connection. docs/design/platform.md weighs this against
 * one HTTP exchange a call.
 *
 * For: both sides of a link and the gate. Owns: which messages there are, and the size of a body's window. Relies on:
 * nothing; `frame-codec.ts` gives the messages their bytes.
 */
import type { Outcome } from '../call/outcome.js';
import type { RawHeaders } from '../http/header-filter.js';

/** The first frame of the side that connects. */
export interface HelloFrame {
  readonly type: 'hello';
  /** The deployment's link token. */
  readonly token: string;
}

/** The context of a call; times are what remains, in milliseconds. */
export interface CallFrameContext {
  readonly requestId: string;
  readonly kind: string;
  readonly importance: number;
  readonly service: string;
  readonly deadlineMs: number;
  readonly waitMs: number;
  /** Time within which an answer is worth its full credit. */
  readonly objectiveMs: number;
  readonly retries: number;
  /** Whether an earlier attempt of the call may have arrived at a target. */
  readonly isRepeat: boolean;
  /** How likely a run that was itself a repeat has made the call, 0 to 1, to a hundredth. */
  readonly inheritedShare: number;
  /** Time in milliseconds before the deadline at which the target is to stop, so that its own answer arrives. */
  readonly answerMarginMs: number;
  /** Names the request whenever it comes again; empty from processes that do not tell it. */
  readonly fingerprint: string;
  /** Rank of the caller's group, 0 the most urgent; 0 from processes that do not tell it. */
  readonly groupRank: number;
  /** Time that the client has used up in earlier attempts of its own; 0 from processes that do not tell it. */
  readonly clientWaitedMs: number;
}

/** Begins a call. */
export interface CallFrame {
  readonly type: 'call';
  /** Chosen by the side that connected; names the call on this connection. */
  readonly id: number;
  readonly context: CallFrameContext;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  /** The whole body; null for none. Absent when the body follows in frames of its own. */
  readonly body?: Buffer | null;
}

/** A whole answer: most are small, and one frame costs less than three. */
export interface AnswerFrame {
  readonly type: 'answer';
  readonly id: number;
  readonly status: number;
  readonly headers: RawHeaders;
  readonly outcome: Outcome;
  readonly body: Buffer;
}

/** The status and headers of the answer. */
export interface HeadFrame {
  readonly type: 'head';
  readonly id: number;
  readonly status: number;
  readonly headers: RawHeaders;
  readonly outcome: Outcome;
}

/** The gate's own answer: the target did not answer the call. */
export interface RefusedFrame {
  readonly type: 'refused';
  readonly id: number;
  readonly outcome: Outcome;
}

/** A part of a body, in either direction. */
export interface DataFrame {
  readonly type: 'data';
  readonly id: number;
  readonly bytes: Buffer;
}

/** The end of a body, in either direction. */
export interface EndFrame {
  readonly type: 'end';
  readonly id: number;
}

/** The body breaks off: what was sent of it is not the whole. */
export interface BrokenFrame {
  readonly type: 'broken';
  readonly id: number;
}

/** The caller is gone: the call is to be stopped. */
export interface CancelFrame {
  readonly type: 'cancel';
  readonly id: number;
}

/** The receiver of a body has taken this many bytes more. */
export interface TakenFrame {
  readonly type: 'taken';
  readonly id: number;
  readonly bytes: number;
}

/** Asks for a sign of life. */
export interface PingFrame {
  readonly type: 'ping';
}

export interface PongFrame {
  readonly type: 'pong';
}

/** Frames about one call. */
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

/**
 * Bytes of a body that may be under way before the receiver says that it took some: what one call holds in memory at most
 * on either side.
 */
export const BODY_WINDOW_BYTES = 256 * 1024;
