/**
 * How much more is offered to a target than it lets in: two counts that fade with time. Pure. Decides with
 * `call/retry-after.ts` when a call that was not let in may come again.
 */

/** Time constant with which the counts fade, in milliseconds. */
const DECAY_MS = 1_000;

export class DemandRatio {
  private offered = 0;
  private admitted = 0;
  private decayedAt = 0;

  /** A call asked to be let in. @param now monotonic milliseconds */
  onOffered(now: number): void {
    const decayFactor = Math.exp((this.decayedAt - now) / DECAY_MS);
    this.decayedAt = now;
    this.offered = this.offered * decayFactor + 1;
    this.admitted *= decayFactor;
  }

  /** A call was let in. */
  onAdmitted(): void {
    this.admitted += 1;
  }

  /** Calls offered for each that was let in, as of the last call offered. */
  current(): number {
    return this.offered / Math.max(1, this.admitted);
  }
}
