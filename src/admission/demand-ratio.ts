/** Ratio of offered to admitted calls at a target, from two exponentially decaying counts. Sets the `Retry-After` of refusals. */

/** Time constant of the decay, in milliseconds. */
const DECAY_MS = 1_000;

export class DemandRatio {
  private offered = 0;
  private admitted = 0;
  private decayedAt = 0;

  /** Records a call that requested admission. @param now monotonic milliseconds */
  onOffered(now: number): void {
    const decayFactor = Math.exp((this.decayedAt - now) / DECAY_MS);
    this.decayedAt = now;
    this.offered = this.offered * decayFactor + 1;
    this.admitted *= decayFactor;
  }

  /** Records an admitted call. */
  onAdmitted(): void {
    this.admitted += 1;
  }

  /** Offered calls per admitted call, as of the last offered call. */
  current(): number {
    return this.offered / Math.max(1, this.admitted);
  }
}
