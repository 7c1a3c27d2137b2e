/**
 * Converts the context of a call for a call frame. Deadlines are sent as remaining durations, since machines do not share
 * a clock.
 */
import type { CallFrameContext } from './link-frames.js';
import type { AttemptMetadata } from '../call/transport.js';
import type { CallContext } from '../call/call-context.js';

/**
 * Builds the context that an attempt sends to the gate. Absent values are replaced by their defaults.
 * @param now the current time in milliseconds, on the clock of `context.deadlineAt`
 */
export function createFrameContext(
  context: CallContext,
  { retries, isRepeat, isReroutable = false }: AttemptMetadata,
  now: number,
): CallFrameContext {
  const remainingMs = Math.max(0, context.deadlineAt - now);
  return {
    requestId: context.requestId,
    kind: context.kind,
    importance: context.importance,
    service: context.service ?? '',
    deadlineMs: remainingMs,
    waitMs: Math.max(0, (context.waitUntil ?? context.deadlineAt) - now),
    objectiveMs: context.objectiveMs ?? remainingMs,
    retries,
    isRepeat,
    inheritedShare: context.inheritedShare ?? 0,
    answerMarginMs: context.answerMarginMs ?? 0,
    fingerprint: context.fingerprint ?? '',
    groupRank: context.groupRank ?? 0,
    clientWaitedMs: context.clientWaitedMs ?? 0,
    isReroutable,
  };
}
