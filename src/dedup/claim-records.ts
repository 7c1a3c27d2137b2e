/** Store for the claims of one replica, each until it expires. In memory only. Pure. */
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

  /** Returns the claim of a key unless it has expired. */
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

  /** Deletes the claim if this call holds it and is not answered. */
  release(key: string, callId: string): void {
    const claim = this.claims.get(key);
    if (claim?.callId === callId && claim.phase === 'claimed') this.claims.delete(key);
  }

  /** Returns the unexpired claims of the keys that `isWanted` accepts. */
  export(isWanted: (key: string) => boolean): ClaimRecord[] {
    const now = this.clock.now();
    const records: ClaimRecord[] = [];
    for (const [key, { callId, phase, expiresAt }] of this.claims) {
      if (expiresAt <= now || !isWanted(key)) continue;
      records.push({ key, callId, phase, remainingMs: expiresAt - now });
    }
    return records;
  }

  /** Merges claims from another replica. The phase of a claim never goes back from `answered` to `claimed`. */
  import(records: readonly ClaimRecord[]): void {
    for (const { key, callId, phase, remainingMs } of records) {
      const known = this.find(key);
      if (known !== undefined && (known.phase === 'answered' || phase === 'claimed')) continue;
      this.put(key, { callId, phase, expiresAt: this.clock.now() + remainingMs });
    }
  }

  /** Moves a replaced claim to the end, so that the map stays roughly in order of expiry. */
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
