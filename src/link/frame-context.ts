/**
 * The context of a call as a frame carries it.
 *
 * For: `peer-transport.ts`. Owns: what takes the place of a value that the call does not have. Relies on: no clock that
 * two machines share, so times travel as what remains of them. Pure.
 */
import type { CallFrameContext } from './link-frames.js';
import type { AttemptEnvelope } from '../call/transport.js';
import type { CallContext } from '../call/call-context.js';

/**
 * What an attempt of a call tells the gate.
 * @param now the moment of sending, on the clock of the context's times, in milliseconds
 */
export function frameContext(
  context: CallContext,
  { retries, isRepeat }: AttemptEnvelope,
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
  };
}
