/**
 * Idempotency keys held in the memory of a single node, for the lab's `claims=local`. A retry that reaches
 * another node, or the same node after a restart, is not recognized. The product stores keys in a quorum of
 * nodes instead.
 */
import type { Clock } from '../../src/common/clock.js';
import type { ClaimDecision, ClaimHandle, KeyClaims } from '../../src/dedup/claim.js';
import { CLAIM_LIFETIME_MS } from '../../src/dedup/claim-replica.js';

interface ClaimRecord {
  isAnswered: boolean;
  readonly expiresAt: number;
}

export class LocalClaims implements KeyClaims {
  private readonly records = new Map<string, ClaimRecord>();

  constructor(private readonly clock: Clock) {}

  claim(key: string, decide: (decision: ClaimDecision) => void): ClaimHandle {
    this.evictExpired();
    const existing = this.records.get(key);
    if (existing !== undefined) {
      decide(heldDecision(existing));
      return { onForwarded: noop, onAnswered: noop, release: noop };
    }
    const record: ClaimRecord = {
      isAnswered: false,
      expiresAt: this.clock.now() + CLAIM_LIFETIME_MS,
    };
    this.records.set(key, record);
    decide({ type: 'granted' });
    return {
      onForwarded: noop,
      onAnswered: () => {
        record.isAnswered = true;
      },
      release: () => {
        if (this.records.get(key) === record) this.records.delete(key);
      },
    };
  }

  /** Relies on the records being in insertion order, which is also their order of expiry. */
  private evictExpired(): void {
    const now = this.clock.now();
    for (const [key, record] of this.records) {
      if (record.expiresAt > now) return;
      this.records.delete(key);
    }
  }
}

function noop(): void {
  // Local claims do not record this event.
}

/** The decision for a later call with the same key. */
function heldDecision({ isAnswered }: ClaimRecord): ClaimDecision {
  if (isAnswered) {
    return { type: 'held', verdict: 'ran', detail: 'A request with this key was answered.' };
  }
  return {
    type: 'held',
    verdict: 'may-have-run',
    detail: 'A request with this key was accepted and has not been answered yet.',
  };
}
