/** The claims in a replica's memory, each until it runs out. Owned by one replica; never on disk. Pure. */
import type { Clock } from '../common/clock.js';
import type { ClaimPhase, ClaimRecord } from './claim-messages.js';

interface KeptClaim {
  readonly callId: string;
  phase: ClaimPhase;
  readonly expiresAt: number;
}

export class ClaimRecords {
  private readonly claims = new Map<string, KeptClaim>();

  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: number,
  ) {}

  /** The claim of a key that has not run out. */
  find(key: string): Readonly<KeptClaim> | undefined {
    const claim = this.claims.get(key);
    return claim !== undefined && claim.expiresAt > this.clock.now() ? claim : undefined;
  }

  add(key: string, callId: string): void {
    this.forgetExpired();
    this.put(key, { callId, phase: 'claimed', expiresAt: this.clock.now() + this.lifetimeMs });
  }

  onAnswered(key: string, callId: string): void {
    const claim = this.claims.get(key);
    if (claim?.callId === callId) claim.phase = 'answered';
  }

  /** Frees the key if the call still holds it unanswered. */
  release(key: string, callId: string): void {
    const claim = this.claims.get(key);
    if (claim?.callId === callId && claim.phase === 'claimed') this.claims.delete(key);
  }

  /** The claims whose key passes, for another replica. */
  export(isWanted: (key: string) => boolean): ClaimRecord[] {
    const now = this.clock.now();
    const records: ClaimRecord[] = [];
    for (const [key, { callId, phase, expiresAt }] of this.claims) {
      if (expiresAt <= now || !isWanted(key)) continue;
      records.push({ key, callId, phase, remainingMs: expiresAt - now });
    }
    return records;
  }

  /** Takes over claims from another replica. An answered claim stays answered. */
  import(records: readonly ClaimRecord[]): void {
    for (const { key, callId, phase, remainingMs } of records) {
      const known = this.find(key);
      if (known !== undefined && (known.phase === 'answered' || phase === 'claimed')) continue;
      this.put(key, { callId, phase, expiresAt: this.clock.now() + remainingMs });
    }
  }

  /** Replaced claims move to the end, so the map stays roughly in order of expiry. */
  private put(key: string, claim: KeptClaim): void {
    this.claims.delete(key);
    this.claims.set(key, claim);
  }

  private forgetExpired(): void {
    const now = this.clock.now();
    for (const [key, claim] of this.claims) {
      if (claim.expiresAt > now) return;
      this.claims.delete(key);
    }
  }
}
