/**
 * Counts events in a sliding time window, in a ring buffer with one bucket per step. An event counts until its whole step
 * has left the window, so the count is never too low. The caller passes the time, which must not decrease.
 */

/** An event counts for up to one step, a twentieth of the window, too long. */
const STEPS_PER_WINDOW = 20;
/** One bucket more than steps in the window, so that no event is removed too early. */
const BUCKET_COUNT = STEPS_PER_WINDOW + 1;

/** A counter of the events in a sliding time window. */
export class SlidingWindowCounter {
  private readonly buckets = new Float64Array(BUCKET_COUNT);
  private readonly stepMs: number;
  /** Number of the current step. */
  private step = -Infinity;
  private sum = 0;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.stepMs = windowMs / STEPS_PER_WINDOW;
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
    if (step >= this.step - STEPS_PER_WINDOW && this.buckets[bucketIndex(step)]! > 0)
      this.addToBucket(step, -1);
  }

  /** Returns the milliseconds until the oldest events leave the window, or 0 without events. Requires events of weight 1. */
  msToNextExpiry(now: number): number {
    this.advance(now);
    if (this.sum === 0) return 0;
    let oldest = this.step - STEPS_PER_WINDOW;
    while (this.buckets[bucketIndex(oldest)] === 0) oldest += 1;
    return (oldest + BUCKET_COUNT) * this.stepMs - now;
  }

  /** Returns the events per millisecond in the last `durationMs`, rounded to steps. */
  recentRate(durationMs: number, now: number): number {
    this.advance(now);
    const steps = Math.max(1, Math.floor(durationMs / this.stepMs));
    let events = 0;
    for (let age = 0; age <= steps; age += 1) events += this.buckets[bucketIndex(this.step - age)]!;
    return events / (now - (this.step - steps) * this.stepMs);
  }

  /** Returns the number of events that leave the window within `durationMs`. */
  expiringWithin(durationMs: number, now: number): number {
    this.advance(now);
    const lastStep = Math.min(
      this.step,
      Math.floor((now + durationMs) / this.stepMs) - BUCKET_COUNT,
    );
    let expiring = 0;
    for (let step = this.step - STEPS_PER_WINDOW; step <= lastStep; step += 1) {
      expiring += this.buckets[bucketIndex(step)]!;
    }
    return expiring;
  }

  /**
   * Returns the largest number by which `perMs` events per millisecond, from now on, are ahead of the events that leave the
   * window, at any time until all have left.
   */
  largestLead(perMs: number, now: number): number {
    this.advance(now);
    let left = 0;
    let largest = 0;
    for (let step = this.step - STEPS_PER_WINDOW; step <= this.step; step += 1) {
      const msToExpiry = (step + BUCKET_COUNT) * this.stepMs - now;
      largest = Math.max(largest, perMs * msToExpiry - left);
      left += this.buckets[bucketIndex(step)]!;
    }
    return largest;
  }

  private addToBucket(step: number, amount: number): void {
    this.buckets[bucketIndex(step)]! += amount;
    this.sum += amount;
  }

  /** Clears the buckets that the new steps reuse; their events have left the window. */
  private advance(now: number): void {
    const step = Math.floor(now / this.stepMs);
    const elapsedSteps = Math.min(step - this.step, BUCKET_COUNT);
    for (let age = 0; age < elapsedSteps; age += 1) this.clearBucket(bucketIndex(step - age));
    if (elapsedSteps > 0) this.step = step;
  }

  private clearBucket(index: number): void {
    this.sum -= this.buckets[index]!;
    this.buckets[index] = 0;
  }
}

function bucketIndex(step: number): number {
  return ((step % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT;
}
