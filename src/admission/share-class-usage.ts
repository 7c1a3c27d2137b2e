/** Slots of a target used by one share class: calls in flight, combined with their moving average. */

/** Time constant of the average, in milliseconds: how long a class below its share may catch up afterwards. */
const AVERAGING_MS = 1_000;

export class ShareClassUsage {
  private average = 0;
  private updatedAt = 0;
  private inFlight = 0;

  /** Records an admitted (1) or finished (-1) call. @param now monotonic milliseconds */
  change(delta: number, now: number): void {
    this.updateAverage(now);
    this.inFlight += delta;
  }

  /**
   * The usage to compare with the share of the class: the mean of the moving average, which lets a class that was below its
   * share catch up, and of the calls in flight, which prevents a burst from taking every slot at once.
   * @param now monotonic milliseconds
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
