/** Decides which arrivals of a simulated request are repeats, independently of the code under test. */
export class RequestLineage {
  private arrivals = 0;

  /** @param isFromRepeatedRun whether a repeated run sent the request */
  constructor(readonly isFromRepeatedRun: boolean) {}

  /** Records an arrival at a target. @returns whether it counts as a repeat */
  recordArrival(): boolean {
    this.arrivals += 1;
    return this.isFromRepeatedRun || this.arrivals > 1;
  }
}
