/**
 * How long a target usually takes to begin an answer, and which waits are too long for that. Pure.
 *
 * For: `instance-pool.ts`, which exchanges connections that may have fallen silent. Owns: the usual time of one
 * incarnation. Relies on: being told of every answer that begins.
 */

/** Weight of one answer in the usual time, an exponentially weighted mean. */
const SMOOTHING_FACTOR = 0.1;
/** A wait of this multiple of the usual time is suspicious: the slowest calls of most targets take less. */
const SUSPICIOUS_MULTIPLE = 3;
/** No wait below this is suspicious, in milliseconds: short times vary by more. */
const MIN_SUSPICIOUS_MS = 300;

export class AnswerTimes {
  private averageMs: number | undefined;

  /** An answer began this long after its request was sent, in milliseconds. */
  onAnswered(durationMs: number): void {
    this.averageMs =
      this.averageMs === undefined
        ? durationMs
        : this.averageMs + SMOOTHING_FACTOR * (durationMs - this.averageMs);
  }

  /** Whether a request that waited this long without an answer may have been sent into a silent connection. */
  isSuspicious(waitedMs: number): boolean {
    if (this.averageMs === undefined) return false;
    return waitedMs >= Math.max(MIN_SUSPICIOUS_MS, SUSPICIOUS_MULTIPLE * this.averageMs);
  }
}
