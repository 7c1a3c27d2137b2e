/** Classifies a connection to the target that broke before the answer began. Pure. */
import type { Verdict } from '../common/verdict.js';
import { CrashNote } from '../call/outcome.js';
import type { Refusal } from '../call/refusal.js';
import { SHORT_RETRY_SECONDS } from '../call/retry-after.js';

/** The refusal, and the crash information to report to the caller. */
export interface BrokenConnectionRefusal {
  readonly refusal: Refusal;
  readonly crashNote: CrashNote | undefined;
}

/**
 * @param verdict whether the request may have run
 * @param isDown whether the target refuses connections, or was replaced by another incarnation
 * @param isLikelyCause whether the target may have crashed because of the request
 */
export function classifyBrokenConnection(
  verdict: Verdict,
  isDown: boolean,
  isLikelyCause: boolean,
): BrokenConnectionRefusal {
  const retryAfterSeconds = SHORT_RETRY_SECONDS;
  if (!isDown) {
    const detail = 'The connection to the target broke.';
    const refusal: Refusal = { reason: 'unreachable', verdict, retryAfterSeconds, detail };
    return { refusal, crashNote: undefined };
  }
  if (verdict === 'not-run') {
    const detail = 'The target is down.';
    const refusal: Refusal = { reason: 'leaving', verdict, retryAfterSeconds, detail };
    return { refusal, crashNote: CrashNote.TargetDown };
  }
  const detail = 'The target crashed.';
  const refusal: Refusal = { reason: 'unreachable', verdict, retryAfterSeconds, detail };
  return { refusal, crashNote: isLikelyCause ? CrashNote.Suspect : CrashNote.TargetDown };
}
