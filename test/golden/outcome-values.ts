/** All enumerated values of an outcome; a missing or additional value fails to compile. */
import type { RefusalReason } from '../../src/call/refusal.js';
import type { Verdict } from '../../src/common/verdict.js';

const REASON_SET: Record<RefusalReason, true> = {
  overload: true,
  'retry-budget': true,
  deadline: true,
  leaving: true,
  unavailable: true,
  unreachable: true,
  'broken-answer': true,
  duplicate: true,
  'duplicate-unknown': true,
  'unknown-kind': true,
  'unknown-group': true,
  'unknown-service': true,
  'bad-request': true,
  'too-large': true,
  'request-timeout': true,
  'not-ready': true,
  'stale-configuration': true,
  'rate-limited': true,
  'target-rate-limit': true,
  'target-slowed': true,
  quarantined: true,
};

const VERDICT_SET: Record<Verdict, true> = { 'not-run': true, 'may-have-run': true, ran: true };

export const REFUSAL_REASONS = Object.keys(REASON_SET) as readonly RefusalReason[];
export const VERDICTS = Object.keys(VERDICT_SET) as readonly Verdict[];
