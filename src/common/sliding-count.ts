/**
 * Counts events of the last window of time, in steps: an event counts until its whole step has left the window, so the
 * count is never below that of any window of this length. For quotas, and for whatever else counts over a time that slides.
 *
 * Owns a ring of sums, one a step. Pure: the time is passed in, and may not run backwards.
 */

/** Steps of a window: with 20 an event counts for up to a twentieth of the window too long. */
const STEPS = 20;
/** The window covers one step more than it is long, so that no event is forgotten early. */
const PLACES = STEPS + 1;

export class SlidingCount {
  private readonly amounts = new Float64Array(PLACES);
  private readonly stepMs: number;
  /** Number of the newest step. */
  private step = -Infinity;
  private sum = 0;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.stepMs = windowMs / STEPS;
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
    this.change(this.step, amount);
    return this.step;
  }

  /** Takes an event back that counted in `step`, unless it has left the window. */
  remove(step: number, now: number): void {
    this.advance(now);
    if (step >= this.step - STEPS && this.amounts[placeOf(step)]! > 0) this.change(step, -1);
  }

  /** Milliseconds until the oldest events stop counting; 0 where none counts. For whole events alone. */
  msToNextExpiry(now: number): number {
    this.advance(now);
    if (this.sum === 0) return 0;
    let oldest = this.step - STEPS;
    while (this.amounts[placeOf(oldest)] === 0) oldest += 1;
    return (oldest + PLACES) * this.stepMs - now;
  }

  private change(step: number, by: number): void {
    this.amounts[placeOf(step)]! += by;
    this.sum += by;
  }

  /** Forgets the steps that have left the window, the newest first. */
  private advance(now: number): void {
    const step = Math.floor(now / this.stepMs);
    const passed = Math.min(step - this.step, PLACES);
    for (let each = 0; each < passed; each += 1) this.clear(placeOf(step - each));
    if (passed > 0) this.step = step;
  }

  private clear(place: number): void {
    this.sum -= this.amounts[place]!;
    this.amounts[place] = 0;
  }
}

function placeOf(step: number): number {
  return ((step % PLACES) + PLACES) % PLACES;
}
