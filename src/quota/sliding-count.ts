/**
 * Counts events of the last window of time, in steps: an event counts until its whole step has left the window, so the
 * count is never below that of any window of this length. Pure.
 */

/** Steps of a window. */
const STEPS = 20;

export class SlidingCount {
  private readonly counts: number[] = new Array<number>(STEPS + 1).fill(0);
  private readonly stepMs: number;
  /** Number of the newest step. */
  private step = -Infinity;
  private sum = 0;

  constructor(windowMs: number) {
    this.stepMs = windowMs / STEPS;
  }

  /** Events that count now. */
  total(now: number): number {
    this.advance(now);
    return this.sum;
  }

  /** Counts an event. @returns its step, for {@link remove} */
  add(now: number): number {
    this.advance(now);
    this.change(this.step, 1);
    return this.step;
  }

  /** Takes an event back that counted in `step`, unless it has left the window. */
  remove(step: number, now: number): void {
    this.advance(now);
    if (step >= this.step - STEPS && this.counts[placeOf(step)]! > 0) this.change(step, -1);
  }

  /** Milliseconds until the oldest events stop counting; 0 where none counts. */
  msToNextExpiry(now: number): number {
    this.advance(now);
    if (this.sum === 0) return 0;
    let oldest = this.step - STEPS;
    while (this.counts[placeOf(oldest)] === 0) oldest += 1;
    return (oldest + STEPS + 1) * this.stepMs - now;
  }

  private change(step: number, by: number): void {
    this.counts[placeOf(step)]! += by;
    this.sum += by;
  }

  private advance(now: number): void {
    const step = Math.floor(now / this.stepMs);
    if (step <= this.step) return;
    const first = Math.max(this.step + 1, step - STEPS);
    for (let cleared = first; cleared <= step; cleared += 1) {
      this.sum -= this.counts[placeOf(cleared)]!;
      this.counts[placeOf(cleared)] = 0;
    }
    this.step = step;
  }
}

function placeOf(step: number): number {
  const count = STEPS + 1;
  return ((step % count) + count) % count;
}
