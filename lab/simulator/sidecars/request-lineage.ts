/** Whether the arrivals of a simulated request are repeats, as seen from outside and not as shoredoor believes. */
export class RequestLineage {
  private arrivals = 0;

  /** @param isFromRepeatedRun whether the run that made the request was itself a repeat */
  constructor(readonly isFromRepeatedRun: boolean) {}

  /** The request arrives at a target. @returns whether that counts as a repeat */
  recordArrival(): boolean {
    this.arrivals += 1;
    return this.isFromRepeatedRun || this.arrivals > 1;
  }
}
