/**
 * Tracks the age of the proof that the applied configuration holds every acknowledged change. A leader that a majority
 * has confirmed reports its revision. The proof takes effect once that revision is applied here. It is dated from when the
 * request was sent, so that a delayed reply never makes it look more recent than it is. Pure.
 */

/** The revision that a confirmed leader reported. */
export interface LeaderConfirmation {
  /** Revision that includes every change acknowledged before {@link provenAt}. */
  readonly revision: number;
  /** Monotonic clock of this process, in milliseconds. */
  readonly provenAt: number;
}

/** Maximum number of confirmations whose revision is not applied yet: enough for the heartbeats during one large sync. */
const MAX_PENDING = 16;

export class ConfigurationProof {
  private provenAt = -Infinity;
  private pending: LeaderConfirmation[] = [];

  /** Milliseconds since the latest proof; Infinity if there is none. */
  ageMs(now: number): number {
    return now - this.provenAt;
  }

  /**
   * Records a confirmation.
   * @param appliedRevision revision that this process has applied
   */
  onConfirmed(confirmation: LeaderConfirmation, appliedRevision: number): void {
    if (this.pending.length >= MAX_PENDING) this.pending.shift();
    this.pending.push(confirmation);
    this.onApplied(appliedRevision);
  }

  /** Evaluates the pending confirmations after a revision was applied. */
  onApplied(appliedRevision: number): void {
    for (const { revision, provenAt } of this.pending) {
      if (revision <= appliedRevision) this.provenAt = Math.max(this.provenAt, provenAt);
    }
    this.pending = this.pending.filter(({ revision }) => revision > appliedRevision);
  }
}
