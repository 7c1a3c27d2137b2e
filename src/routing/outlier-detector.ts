/**
 * Ejects an endpoint after failures in a row, and lets it back after a time that grows with each ejection. Owns the
 * failures of one endpoint. How many endpoints may be out at once is decided where one is chosen (target-choice.ts).
 */

/** Failures in a row that eject: one or two are a lost connection or a restart. */
const CONSECUTIVE_FAILURES = 3;

/** Length of the first ejection, in milliseconds; each further one is twice as long. */
const BASE_EJECTION_MS = 1_000;

/** Longest ejection, in milliseconds: an endpoint that has recovered is found by then. */
const MAX_EJECTION_MS = 30_000;

export class OutlierDetector {
  private failuresInRow = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;

  /** Whether the endpoint is out of use. */
  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  /** The endpoint answered. */
  onSuccess(now: number): void {
    this.failuresInRow = 0;
    if (!this.isEjected(now)) this.ejections = 0;
  }

  /** The endpoint failed. */
  onFailure(now: number): void {
    this.failuresInRow += 1;
    if (this.failuresInRow < CONSECUTIVE_FAILURES || this.isEjected(now)) return;
    const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntil = now + ejectionMs;
    // One more failure after the return ejects again at once.
    this.failuresInRow = CONSECUTIVE_FAILURES - 1;
  }
}
