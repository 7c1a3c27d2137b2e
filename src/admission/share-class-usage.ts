/** A share class's recent use of a target: its calls inside the target, averaged over about a second. */

/** Time constant of the average, in milliseconds: how long a class that was short of its share may catch up. */
const AVERAGING_MS = 1_000;

export class ShareClassUsage {
  private average = 0;
  private updatedAt = 0;
  private inFlight = 0;

  /** Records that `delta` calls entered (1) or left (-1) the target. */
  change(delta: number, now: number): void {
    this.updateAverage(now);
    this.inFlight += delta;
  }

  /**
   * The use that is compared with the class's share: half the recent average, so that a class that
   * was short of its share catches up, and half the present value, so that a burst does not take
   * every slot at once.
   */
  use(now: number): number {
    this.updateAverage(now);
    return (this.average + this.inFlight) / 2;
  }

  private updateAverage(now: number): void {
    const elapsedMs = now - this.updatedAt;
    if (elapsedMs <= 0) return;
    this.average =
      this.inFlight + (this.average - this.inFlight) * Math.exp(-elapsedMs / AVERAGING_MS);
    this.updatedAt = now;
  }
}
