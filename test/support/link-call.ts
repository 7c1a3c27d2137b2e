/** Parts of a call over a link, for tests that need a valid one. */
import type { CallFrameContext } from '../../src/link/link-frames.js';
import type { LinkCallListener } from '../../src/link/link-stream.js';

export const LINK_CALL_CONTEXT: CallFrameContext = {
  requestId: 'q',
  kind: 'k',
  importance: 1,
  service: 's',
  deadlineMs: 5_000,
  waitMs: 5_000,
  objectiveMs: 400,
  retries: 0,
  isRepeat: false,
  inheritedShare: 0,
  answerMarginMs: 0,
  fingerprint: '',
  groupRank: 0,
  clientWaitedMs: 0,
  isReroutable: false,
};

export const IGNORE_RESPONSE: LinkCallListener = {
  onAnswer: () => undefined,
  onHead: () => undefined,
  onRefused: () => undefined,
  onData: () => true,
  onEnd: () => undefined,
  onFailure: () => undefined,
};
