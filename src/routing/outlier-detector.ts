/**
 * Ejects an endpoint after consecutive failures, for a time that doubles with each ejection. How many endpoints may be
 * ejected at the same time is limited in target-choice.ts.
 */

/** Number of consecutive failures that eject an endpoint. One or two may be a lost connection or a restart. */
const CONSECUTIVE_FAILURES = 3;

/** Duration of the first ejection, in milliseconds. Each further one is twice as long. */
const BASE_EJECTION_MS = 1_000;

/** Longest ejection, in milliseconds. Bounds the time until a recovered endpoint is used again. */
const MAX_EJECTION_MS = 30_000;

export class OutlierDetector {
  private failuresInRow = 0;
  private ejections = 0;
  private ejectedUntil = -Infinity;

  isEjected(now: number): boolean {
    return now < this.ejectedUntil;
  }

  onSuccess(now: number): void {
    this.failuresInRow = 0;
    if (!this.isEjected(now)) this.ejections = 0;
  }

  onFailure(now: number): void {
    this.failuresInRow += 1;
    if (this.failuresInRow < CONSECUTIVE_FAILURES || this.isEjected(now)) return;
    const ejectionMs = Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.ejectedUntil = now + ejectionMs;
    // After the ejection, a single failure ejects the endpoint again.
    this.failuresInRow = CONSECUTIVE_FAILURES - 1;
  }
}
