/**
 * Average time that a target takes to begin an answer, and a threshold above which a wait suggests that the request was
 * lost on a dead connection. One instance per incarnation of the target.
 */

/** Weight of a new sample in the exponential moving average. */
const SMOOTHING_FACTOR = 0.1;
/** A wait is suspicious from this multiple of the average. */
const SUSPICIOUS_MULTIPLE = 3;
/** Shorter waits are never suspicious, as short response times vary more. In milliseconds. */
const MIN_SUSPICIOUS_MS = 300;

export class ResponseTimeAverage {
  private averageMs: number | undefined;

  /** @param durationMs milliseconds between sending the request and the start of its answer */
  recordDuration(durationMs: number): void {
    this.averageMs =
      this.averageMs === undefined
        ? durationMs
        : this.averageMs + SMOOTHING_FACTOR * (durationMs - this.averageMs);
  }

  /** Whether a request that has waited this long without an answer may have been sent on a dead connection. */
  isSuspicious(waitedMs: number): boolean {
    if (this.averageMs === undefined) return false;
    return waitedMs >= Math.max(MIN_SUSPICIOUS_MS, SUSPICIOUS_MULTIPLE * this.averageMs);
  }
}
