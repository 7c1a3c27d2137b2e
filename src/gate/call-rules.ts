/**
 * What an inbound call asks and tells besides admission, claims and its target. The gate of a sidecar has rules of its
 * own (`gate-call-rules.ts`); the inbound side of `shoredoor node` has none, which {@link NODE_CALL_RULES} stands for.
 */
import type { WatchedRun } from '../quarantine/crash-watch.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { KindRefusal } from './kind-refusal.js';

/** The rules for one call. */
export interface CallHooks {
  /** Whether a target makes the call. */
  readonly isNested: boolean;
  /** Which repeats the retry budget of the target's service would let through now. */
  readonly repeatRoom: RepeatRoom;
  /** Whether the target can be expected to answer the call. */
  isTargetResponsive(): boolean;
  /** Asks the limit of the call's kind, and counts the call as under way; says why not where it is refused. */
  acquireKindLimit(): KindRefusal | undefined;
  /** Asks the retry budget; false where the call is a repeat that it has no room for. */
  tryAcquireRetryBudget(): boolean;
  /** The call holds a permit. @returns whether its wait counts as congestion */
  onAdmitted(waitedMs: number): boolean;
  /** The call was refused for want of room or time. */
  onNotAdmitted(): void;
  /** The call is about to arrive at the target. @returns its run, where crashes of the target are watched */
  onDispatch(): WatchedRun | undefined;
  /** The target has answered. @param timeInTargetMs time that the call was in the target, in milliseconds */
  onAnswer(status: number, timeInTargetMs: number): void;
  /** Another target answered at the address of the expected incarnation. */
  onMisdirected(expectedIncarnation: string): void;
  /** Whether the target may have crashed because of the run. @param underWay requests it was at work on */
  isLikelyCause(run: WatchedRun, underWay: number): boolean;
  /** The call has left the target, or will not get there. May come more than once. */
  release(): void;
  /** Congestion to report to the caller, 0 to 1; undefined where none is kept. */
  congestion(): number | undefined;
}

function noop(): void {
  // The inbound side of a node keeps nothing of its calls.
}

/** The inbound side of `shoredoor node`: no limits by kind, no retry budget, no watch for crashes, no levels. */
export const NODE_CALL_RULES: CallHooks = {
  isNested: false,
  repeatRoom: RepeatRoom.Runs,
  isTargetResponsive: () => true,
  acquireKindLimit: () => undefined,
  tryAcquireRetryBudget: () => true,
  onAdmitted: () => false,
  onNotAdmitted: noop,
  onDispatch: () => undefined,
  onAnswer: noop,
  onMisdirected: noop,
  isLikelyCause: () => false,
  release: noop,
  congestion: () => undefined,
};
