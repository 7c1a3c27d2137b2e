/**
 * Counts events of the last window of time, in steps: an event counts until its whole step has left the window, so the
 * count is never below that of any window of this length. For quotas, and for whatever else counts over a time that slides.
 *
 * Owns a ring of sums, one a step. Pure: the time is passed in, and may not run backwards.
 */

/** Steps of a window: with 20 an event counts for up to a twentieth of the window too long. */
const STEPS_PER_WINDOW = 20;
/** The window covers one step more than it is long, so that no event is forgotten early. */
const BUCKET_COUNT = STEPS_PER_WINDOW + 1;

export class SlidingCount {
  private readonly buckets = new Float64Array(BUCKET_COUNT);
  private readonly stepMs: number;
  /** Number of the newest step. */
  private step = -Infinity;
  private sum = 0;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.stepMs = windowMs / STEPS_PER_WINDOW;
  }

  /** Events that count now. */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  /**
   * Counts an event, or as much of one as it stands for.
   * @returns its step, for {@link remove}
   */
  add(now: number, amount = 1): number {
    this.advance(now);
    this.addToBucket(this.step, amount);
    return this.step;
  }

  /** Takes an event back that counted in `step`, unless it has left the window. */
  remove(step: number, now: number): void {
    this.advance(now);
    if (step >= this.step - STEPS_PER_WINDOW && this.buckets[bucketIndex(step)]! > 0)
      this.addToBucket(step, -1);
  }

  /** Milliseconds until the oldest events stop counting; 0 where none counts. For whole events alone. */
  msToNextExpiry(now: number): number {
    this.advance(now);
    if (this.sum === 0) return 0;
    let oldest = this.step - STEPS_PER_WINDOW;
    while (this.buckets[bucketIndex(oldest)] === 0) oldest += 1;
    return (oldest + BUCKET_COUNT) * this.stepMs - now;
  }

  private addToBucket(step: number, amount: number): void {
    this.buckets[bucketIndex(step)]! += amount;
    this.sum += amount;
  }

  /** Forgets the steps that have left the window, the newest first. */
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
