/** What a gate decides about a call before it asks for admission. Pure. */
import type { CallFrameContext } from '../link/link-frames.js';
import { LOWEST_IMPORTANCE, parseImportance } from '../policy/importance.js';
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
  const { requestId, group, kind, service, retries, deadlineMs, waitMs } = frame;
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
  };
}

/** What the gate knows of a call besides its context. */
export function gateOptions(frame: CallFrameContext, isNested: boolean): InboundCallOptions {
  return { nested: isNested, congestedAfterMs: CONGESTED_WAIT_FRACTION * frame.waitMs };
}
