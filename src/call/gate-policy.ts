/** What a gate decides about a call before it asks for admission. Pure. */
import type { CallFrameContext } from '../link/link-frames.js';
import { LOWEST_IMPORTANCE, parseImportance, type Importance } from '../policy/importance.js';
import type { CallContext } from './call-context.js';
import type { InboundCallOptions } from './inbound-call.js';

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

/** The context of a call that came in a frame. @param isNested whether a target made it */
export function gateContext(frame: CallFrameContext, isNested: boolean, now: number): CallContext {
  const { requestId, group, kind, service, retries, deadlineMs, waitMs, objectiveMs } = frame;
  const patienceMs = isNested ? deadlineMs * NESTED_WAIT_FRACTION : 0;
  return {
    requestId,
    group,
    kind,
    service,
    retries,
    importance: parseImportance(String(frame.importance)) ?? LOWEST_IMPORTANCE,
    deadlineAt: now + deadlineMs,
    waitUntil: now + Math.max(waitMs, patienceMs),
    objectiveMs,
  };
}

/** What the gate knows of a call besides its context. */
export function gateOptions(frame: CallFrameContext, isNested: boolean): InboundCallOptions {
  return { nested: isNested, congestedAfterMs: CONGESTED_WAIT_FRACTION * frame.waitMs };
}

/**
 * Part of the time that a request has which it may spend in the target while calls of the target are held up,
 * by importance, least first. The rest is for the way and for coming back after a refusal; more for the less
 * urgent lets them wait where the urgent ones wait too. Chosen in the simulation (docs/design/platform.md).
 */
const WANTED_PART: readonly number[] = [0.4, 0.4, 0.5, 0.5];
/**
 * Part of the target's calls that may be held up before requests are limited, by importance, least first: the
 * less urgent ones make room first. Chosen in the simulation.
 */
const TOLERATED_LEVEL: readonly number[] = [0.1, 0.1, 0.3, 0.5];

/** Time that a request should be in the target at most, in milliseconds. */
export function wantedHeldMs(context: CallContext, now: number): number {
  const leftMs = context.deadlineAt - now;
  return WANTED_PART[context.importance]! * Math.min(context.objectiveMs ?? leftMs, leftMs);
}

/** Whether so many of the target's calls are held up that requests of this importance are limited. */
export function isAboveTolerated(level: number, importance: Importance): boolean {
  return level > TOLERATED_LEVEL[importance]!;
}
