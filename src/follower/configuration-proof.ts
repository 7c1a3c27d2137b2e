/**
 * How long ago it was proven that nothing newer than the configuration in force here was acknowledged. A leader that a
 * majority has confirmed says which revision it stands at; the proof counts from before the question was sent, and only
 * once that revision is in force here. Pure.
 */

/** What a confirmed leader has said. */
export interface LeaderConfirmation {
  /** Revision that holds every change acknowledged before {@link provenAt}. */
  readonly revision: number;
  /** Monotonic milliseconds of this process. */
  readonly provenAt: number;
}

/** Confirmations that wait for their revision: about as many as heartbeats while a large change is fetched. */
const MAX_PENDING = 16;

export class ConfigurationProof {
  private provenAt = -Infinity;
  private pending: LeaderConfirmation[] = [];

  /** Milliseconds since the proof; Infinity before the first. */
  ageMs(now: number): number {
    return now - this.provenAt;
  }

  /** A leader has answered. @param appliedRevision revision in force here */
  onConfirmed(confirmation: LeaderConfirmation, appliedRevision: number): void {
    if (this.pending.length >= MAX_PENDING) this.pending.shift();
    this.pending.push(confirmation);
    this.onApplied(appliedRevision);
  }

  /** Another revision is in force here. */
  onApplied(appliedRevision: number): void {
    for (const { revision, provenAt } of this.pending) {
      if (revision <= appliedRevision) this.provenAt = Math.max(this.provenAt, provenAt);
    }
    this.pending = this.pending.filter(({ revision }) => revision > appliedRevision);
  }
}
