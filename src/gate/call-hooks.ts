/**
 * Per-call checks and callbacks of an inbound call, besides admission, claims and the target. A
 * sidecar's gate implements them in `gate/gate-call-hooks.ts`; `shoredoor node` uses
 * {@link NODE_CALL_HOOKS}, which limit and track nothing.
 */
import { ANY_CALLER, type CallerKey } from '../admission/target-rate-limiter.js';
import type { Bottleneck, KindPace } from '../call/outcome.js';
import type { WatchedRun } from '../quarantine/crash-watch.js';
import { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { KindRefusal } from './kind-refusal.js';

/** Checks and callbacks for one call. */
export interface CallHooks {
  /** Whether a target makes the call, and not a client. */
  readonly isNested: boolean;
  /** The process that sent the call. */
  readonly caller: CallerKey;
  /** Which repeats the retry budget of the target's service allows now. */
  readonly repeatRoom: AcceptedRepeats;
  /** Whether the target is expected to answer the call. */
  isTargetResponsive(): boolean;
  /** Whether a long run would be answered in time, or the call has to be sent to this target anyway. */
  mayRunNow(): boolean;
  /** Counts the call against the limit of its kind. @returns the cause if the limit is reached */
  acquireKindLimit(): KindRefusal | undefined;
  /**
   * Charges the call to the retry budget if it is a repeat.
   * @returns false if the budget has no room
   */
  tryAcquireRetryBudget(): boolean;
  /** The call was granted a permit. @returns whether its wait counts as congestion */
  onAdmitted(waitedMs: number): boolean;
  /** The admission controller refused the call: no slot in time, or too little time left. */
  onNotAdmitted(): void;
  /**
   * The call is about to be sent to the target.
   * @returns the watched run; undefined if crashes of the target are not watched
   */
  onDispatch(): WatchedRun | undefined;
  /**
   * The target answered, or did not before the deadline (status 504).
   * @param timeInTargetMs time since the call was admitted, in milliseconds
   */
  onAnswer(status: number, timeInTargetMs: number): void;
  /**
   * The call ended without a usable answer of the target: its connection broke, the answer was not to this request, or the
   * target rejected it although it has room.
   */
  onUnserved(): void;
  /** Another target answered at the address of the expected incarnation. */
  onMisdirected(expectedIncarnation: string): void;
  /**
   * Whether the target may have crashed because of the run.
   * @param underWay different requests in the target when it crashed
   */
  isLikelyCause(run: WatchedRun, underWay: number): boolean;
  /** The call has left the target, or will not reach it. May be called more than once. */
  release(): void;
  /** Durations of such calls in the target; undefined if they are not tracked, or before enough calls. */
  kindPace(): KindPace | undefined;
  /** Share of the runs at the target without a usable answer, 0 to 1; undefined if it is negligible or not tracked. */
  unservedShare(): number | undefined;
  /** Congestion to report to the caller, 0 to 1; undefined if it is not tracked. */
  congestion(): number | undefined;
  /** The most loaded service on the path of the call, to report to the caller; undefined if there is none. */
  bottleneck(): Bottleneck | undefined;
}

function noop(): void {
  // The inbound side of a node tracks nothing per call.
}

/**
 * For `shoredoor node`: no limit by kind, no retry budget, no crash detection, no congestion
 * levels.
 */
export const NODE_CALL_HOOKS: CallHooks = {
  isNested: false,
  // Callers can't be told apart: each has many connections.
  caller: ANY_CALLER,
  repeatRoom: AcceptedRepeats.Runs,
  isTargetResponsive: () => true,
  mayRunNow: () => true,
  acquireKindLimit: () => undefined,
  tryAcquireRetryBudget: () => true,
  onAdmitted: () => false,
  onNotAdmitted: noop,
  onDispatch: () => undefined,
  onAnswer: noop,
  onUnserved: noop,
  onMisdirected: noop,
  isLikelyCause: () => false,
  release: noop,
  kindPace: () => undefined,
  unservedShare: () => undefined,
  congestion: () => undefined,
  bottleneck: () => undefined,
};
