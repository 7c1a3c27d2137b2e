/**
 * Schedules the reports by which an ingress requests larger grants from control between heartbeats. Requests for one
 * group back off exponentially while they yield no permit; requests for several groups are batched into one report.
 */
import type { Clock } from '../common/clock.js';

/** Initial interval between requests for one group, in milliseconds. Doubles while no permit is obtained. */
const MIN_REQUEST_INTERVAL_MS = 50;
/** Upper bound of the interval, in milliseconds: about the interval between heartbeats. */
const MAX_REQUEST_INTERVAL_MS = 800;
/**
 * A group whose interval exceeds this many milliseconds counts as exhausted, and its requests are refused without waiting.
 * Exceeded with the fourth consecutive request.
 */
const EXHAUSTED_INTERVAL_MS = 400;
/** Minimum interval between two reports that request grants, in milliseconds. */
const MIN_GAP_MS = 20;

/** Exponential backoff of the grant requests for one group. */
export class GrantRequestBackoff {
  private lastRequestAt = -Infinity;
  /** Minimum time from the last request to the next, in milliseconds. */
  private intervalMs = MIN_REQUEST_INTERVAL_MS;

  /** Whether so many requests in a row have yielded no permit that further waiting is pointless. */
  get isExhausted(): boolean {
    return this.intervalMs > EXHAUSTED_INTERVAL_MS;
  }

  /** Resets the interval. */
  onPermit(): void {
    this.intervalMs = MIN_REQUEST_INTERVAL_MS;
  }

  /** Milliseconds until the next request is allowed. */
  msToNext(now: number): number {
    return Math.max(0, this.lastRequestAt + this.intervalMs - now);
  }

  /** Returns whether a request may be sent now; if so, records it and doubles the interval. */
  tryRequest(now: number): boolean {
    if (now - this.lastRequestAt < this.intervalMs) return false;
    this.lastRequestAt = now;
    this.intervalMs = Math.min(MAX_REQUEST_INTERVAL_MS, 2 * this.intervalMs);
    return true;
  }
}

/** Batches the grant requests of all groups, so that requests made at about the same time share one report. */
export class GrantRequestBatcher {
  private lastReportAt = -Infinity;
  private isDue = false;

  /** @param sendReport sends a quota report to control */
  constructor(
    private readonly clock: Clock,
    private readonly sendReport: () => void,
  ) {}

  /** Sends a report now, or as soon as {@link MIN_GAP_MS} have passed since the last one. */
  request(now: number): void {
    if (this.isDue) return;
    const waitMs = this.lastReportAt + MIN_GAP_MS - now;
    if (waitMs <= 0) {
      this.lastReportAt = now;
      this.sendReport();
      return;
    }
    this.isDue = true;
    this.clock.schedule(waitMs, () => {
      this.isDue = false;
      this.request(this.clock.now());
    });
  }
}
