/** What a gate decides about a call before it asks for admission. Pure. */
import { SHARING_ORDERS } from '../admission/sharing-policy.js';
import type { CallFrameContext } from '../link/link-frames.js';
import { LOWEST_IMPORTANCE, parseImportance, type Importance } from '../policy/importance.js';
import type { CallContext } from '../call/call-context.js';
import type { GateCallOptions } from './gate-call-rules.js';

/** Part of a target's slots that is used. Some targets slow down when they are nearly full. */
export const SLOT_FRACTION = 0.95;
/** Bounds the queue: every call carries a bound of its own on its wait. In milliseconds. */
export const QUEUE_WAIT_MS = 1_000;

/** Part of its remaining time that a call of a target may wait: its caller's work is lost with it. */
const NESTED_WAIT_FRACTION = 0.7;
/**
 * Part of its bound after which a call that waits reports congestion. A request may pass many gates one
 * after the other, so its callers are to hear of short waits already.
 */
const CONGESTED_WAIT_FRACTION = 0.3;

/** Who shares the slots of a target: requests of clients, and calls that targets make. */
export enum GateShareClass {
  Clients = 'clients',
  Targets = 'targets',
}

/**
 * Share of the slots of each class; what one leaves goes to the other by importance. Calls of targets come
 * first otherwise, since work is lost with them, and would leave nothing to requests that need a full service
 * themselves. Chosen in the simulation: 0.4 for clients costs the others 0.01 of their worth.
 */
const GATE_SHARES: Readonly<Record<string, number>> = {
  [GateShareClass.Clients]: 0.25,
  [GateShareClass.Targets]: 0.75,
};

/** How the calls of a gate share its target. */
export const GATE_SHARING = {
  order: SHARING_ORDERS['share-first'],
  shareOf: (shareClass: string): number => GATE_SHARES[shareClass] ?? 0,
  totalShare: (): number => 1,
} as const;

/** The context of a call that came in a frame. @param isNested whether a target made it */
export function gateContext(frame: CallFrameContext, isNested: boolean, now: number): CallContext {
  const { requestId, kind, service, retries, deadlineMs, waitMs, objectiveMs } = frame;
  const { isRepeat, inheritedShare, answerMarginMs, fingerprint, groupRank } = frame;
  const maxWaitMs = isNested ? deadlineMs * NESTED_WAIT_FRACTION : 0;
  return {
    requestId,
    group: isNested ? GateShareClass.Targets : GateShareClass.Clients,
    kind,
    service,
    retries,
    importance: parseImportance(String(frame.importance)) ?? LOWEST_IMPORTANCE,
    deadlineAt: now + deadlineMs,
    waitUntil: now + Math.max(waitMs, maxWaitMs),
    objectiveMs,
    isRepeat,
    inheritedShare,
    answerMarginMs,
    fingerprint,
    groupRank,
  };
}

/** What the gate knows of a call besides its context. */
export function gateOptions(frame: CallFrameContext, isNested: boolean): GateCallOptions {
  return { isNested, congestedAfterMs: CONGESTED_WAIT_FRACTION * frame.waitMs };
}

/**
 * Part of its time that a request should spend in the target at most while calls of the target are held up, by
 * importance, least first. The less urgent kinds fill the queue below up to their part; with 0.4 for them and 0.5
 * for the most urgent the urgent ones were limited too (docs/rounds/order-mesh.md).
 */
const MAX_TARGET_TIME_PART: readonly number[] = [0.35, 0.35, 0.5, 0.8];
/**
 * Part of the target's calls that may be held up before requests are limited, by importance, least first: the
 * less urgent ones make room first. Chosen in the simulation.
 */
const TOLERATED_LEVEL: readonly number[] = [0.1, 0.1, 0.3, 0.5];

/** Time that a request should be in the target at most, in milliseconds. */
export function maxTimeInTargetMs(context: CallContext, now: number): number {
  const leftMs = context.deadlineAt - now;
  return (
    MAX_TARGET_TIME_PART[context.importance]! * Math.min(context.objectiveMs ?? leftMs, leftMs)
  );
}

/** Whether so many of the target's calls are held up that requests of this importance are limited. */
export function isAboveTolerated(level: number, importance: Importance): boolean {
  return level > TOLERATED_LEVEL[importance]!;
}
