/**
 * How long calls wait at a gate, and how they share its target: what a gate adds to a call before any rule is asked. Asked
 * once for each call that comes in a frame; relies on the origin tracker for whether a target makes it. Pure.
 */
import { SHARING_ORDERS } from '../admission/sharing-policy.js';
import type { CallFrameContext } from '../link/link-frames.js';
import { LOWEST_IMPORTANCE, parseImportance } from '../policy/importance.js';
import type { CallContext } from '../call/call-context.js';
import type { GateCallOptions } from './gate-call-rules.js';

/**
 * Part of a target's slots that is used: targets that are nearly full may slow down, by 1.3 above 0.95 on one customer's.
 * Simulated targets don't, and with all slots used worth rose from 0.769 to 0.803 on the fan-in graph at 2.4 times demand
 * (docs/rounds/order-mesh.md).
 */
export const SLOT_FRACTION = 0.95;
/** Bounds the queue: every call carries a bound of its own on its wait. In milliseconds. */
export const QUEUE_WAIT_MS = 1_000;

/**
 * Part of its remaining time that a call of a target may wait: its caller's work is lost with it. Long waits hold slots of
 * the callers. With limits by kind 0.2 is worth the same: 0.769 and 0.827 after 0.769 and 0.815 (fan-in graph at 2.4, deep
 * search graph at 2.2 times demand; docs/rounds/order-mesh.md).
 */
const NESTED_WAIT_FRACTION = 0.7;
/**
 * Part of its bound after which a call that waits reports congestion. A request may pass many gates one
 * after the other, so short waits are reported already.
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
 * themselves. Worth of all kinds, the worst kind in brackets: 0.770 (0.42) with shares, 0.758 (0.09) without
 * (simulated, fan-in graph at 2.4 times demand; docs/design/platform.md). 0.4 for clients costs the others 0.01 of their
 * worth, by an earlier simulation whose command is not kept.
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
  const { isRepeat, inheritedShare, answerMarginMs, fingerprint, groupRank, clientWaitedMs } =
    frame;
  const maxWaitMs = isNested ? deadlineMs * NESTED_WAIT_FRACTION : 0;
  return {
    requestId,
    // Tenants share no slots here: the share class stands in place of the tenant.
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
  };
}

/**
 * What the gate knows of a call besides its context.
 * @param isPresumedNested whether all that was seen of its kind yet suggests that a target made it
 */
export function gateOptions(
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
