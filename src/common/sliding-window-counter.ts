/**
 * Counts events in a sliding time window, in a ring buffer with one bucket per step. An event counts until its whole step
 * has left the window, so the count is never too low. The caller passes the time, which must not decrease.
 */

/** Default number of steps in a window. An event counts for up to one step too long. */
const DEFAULT_STEPS = 20;

/** A counter of the events in a sliding time window. */
export class SlidingWindowCounter {
  private readonly buckets: Float64Array;
  private readonly stepMs: number;
  /** One bucket more than steps in the window, so that no event is removed too early. */
  private readonly bucketCount: number;
  /** Number of the current step. */
  private step = -Infinity;
  private sum = 0;

  /**
   * @param windowMs length of the window in milliseconds
   * @param steps number of steps in the window; more cost memory and make the count more exact
   */
  constructor(
    windowMs: number,
    private readonly steps: number = DEFAULT_STEPS,
  ) {
    this.stepMs = windowMs / steps;
    this.bucketCount = steps + 1;
    this.buckets = new Float64Array(this.bucketCount);
  }

  /** Returns the number of events in the window. */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  /**
   * Counts an event.
   * @param amount weight of the event
   * @returns the step of the event, for {@link remove}
   */
  add(now: number, amount = 1): number {
    this.advance(now);
    this.addToBucket(this.step, amount);
    return this.step;
  }

  /** Removes an event that was counted in `step`, unless it has already left the window. */
  remove(step: number, now: number): void {
    this.advance(now);
    if (step >= this.step - this.steps && this.buckets[this.bucketIndex(step)]! > 0)
      this.addToBucket(step, -1);
  }

  /** Returns the milliseconds until the oldest events leave the window, or 0 without events. Requires events of weight 1. */
  msToNextExpiry(now: number): number {
    this.advance(now);
    if (this.sum === 0) return 0;
    let oldest = this.step - this.steps;
    while (this.buckets[this.bucketIndex(oldest)] === 0) oldest += 1;
    return (oldest + this.bucketCount) * this.stepMs - now;
  }

  /** Returns the events per millisecond in the last `durationMs`, rounded to steps. */
  recentRate(durationMs: number, now: number): number {
    this.advance(now);
    const steps = Math.max(1, Math.floor(durationMs / this.stepMs));
    let events = 0;
    for (let age = 0; age <= steps; age += 1)
      events += this.buckets[this.bucketIndex(this.step - age)]!;
    return events / (now - (this.step - steps) * this.stepMs);
  }

  /**
   * Returns the largest number by which `perMs` events per millisecond, from now on, are ahead of the events that leave the
   * window, at any time until all have left.
   */
  largestLead(perMs: number, now: number): number {
    this.advance(now);
    let left = 0;
    let largest = 0;
    for (let step = this.step - this.steps; step <= this.step; step += 1) {
      const msToExpiry = (step + this.bucketCount) * this.stepMs - now;
      largest = Math.max(largest, perMs * msToExpiry - left);
      left += this.buckets[this.bucketIndex(step)]!;
    }
    return largest;
  }

  private addToBucket(step: number, amount: number): void {
    this.buckets[this.bucketIndex(step)]! += amount;
    this.sum += amount;
  }

  /** Clears the buckets that the new steps reuse; their events have left the window. */
  private advance(now: number): void {
    const step = Math.floor(now / this.stepMs);
    const elapsedSteps = Math.min(step - this.step, this.bucketCount);
    for (let age = 0; age < elapsedSteps; age += 1) this.clearBucket(this.bucketIndex(step - age));
    if (elapsedSteps > 0) this.step = step;
  }

  private clearBucket(index: number): void {
    this.sum -= this.buckets[index]!;
    this.buckets[index] = 0;
  }

  private bucketIndex(step: number): number {
    return ((step % this.bucketCount) + this.bucketCount) % this.bucketCount;
  }
}
