/**
 * Policy of a gate: how long calls may wait, how they share the slots of the target, and how the
 * context of a call is built from its frame. Pure.
 */
import { SHARING_ORDERS } from '../admission/sharing-policy.js';
import type { CallFrameContext } from '../link/link-frames.js';
import { LOWEST_IMPORTANCE, parseImportance } from '../policy/importance.js';
import type { CallContext } from '../call/call-context.js';
import type { GateCallOptions } from './gate-call-hooks.js';

/** Fraction of a target's slots that is used: targets may slow down when they are nearly full. */
export const USABLE_SLOT_FRACTION = 0.95;
/**
 * Wait from which the capacity of the queue is computed, in milliseconds. Each call has its own
 * bound on its wait.
 */
export const QUEUE_WAIT_MS = 1_000;

/**
 * Fraction of its remaining time that a nested call may wait. Refusing it loses its caller's work,
 * but a long wait holds a slot of the caller.
 */
const NESTED_WAIT_FRACTION = 0.7;
/**
 * Fraction of its longest wait after which a call reports congestion. Less than 1, since a request
 * may pass many gates in sequence.
 */
const CONGESTED_WAIT_FRACTION = 0.3;

/** Share classes of a target: requests of clients, and calls that targets make. */
export enum GateShareClass {
  Clients = 'clients',
  Targets = 'targets',
}

/**
 * Share of the slots of each class; what one leaves unused goes to the other by importance. Without
 * shares, calls of targets, which come first otherwise, would starve client requests that need a
 * service at its limit.
 */
const GATE_SHARES: Readonly<Record<string, number>> = {
  [GateShareClass.Clients]: 0.25,
  [GateShareClass.Targets]: 0.75,
};

/** Admission options that define how the calls of a gate share its target. */
export const GATE_SHARING = {
  order: SHARING_ORDERS['share-first'],
  shareOf: (shareClass: string): number => GATE_SHARES[shareClass] ?? 0,
  totalShare: (): number => 1,
} as const;

/** Builds the context of a call from its frame. @param isNested whether a target makes the call */
export function createGateContext(
  frame: CallFrameContext,
  isNested: boolean,
  now: number,
): CallContext {
  const { requestId, kind, service, retries, deadlineMs, waitMs, objectiveMs } = frame;
  const { isRepeat, inheritedShare, answerMarginMs, fingerprint, groupRank, clientWaitedMs } =
    frame;
  const { isReroutable } = frame;
  const maxWaitMs = isNested ? deadlineMs * NESTED_WAIT_FRACTION : 0;
  return {
    requestId,
    // Slots are not shared by tenants here: the share class takes the place of the caller's group.
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
    clientWaitedMs,
    isReroutable,
  };
}

/**
 * Builds the properties of a call that are not part of its context.
 * @param isPresumedNested whether the calls of its kind observed so far suggest that a target makes
 *   it
 */
export function createGateCallOptions(
  frame: CallFrameContext,
  isNested: boolean,
  isPresumedNested: boolean,
): GateCallOptions {
  return {
    isNested,
    isPresumedNested,
    congestedAfterMs: CONGESTED_WAIT_FRACTION * frame.waitMs,
  };
}
