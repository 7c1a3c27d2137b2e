/**
 * When an ingress asks control for more of a group than was granted: at once when it runs short, less often the longer the
 * answers bring no permit, and for several groups in one report.
 *
 * Owns when control was last asked. Relies on a clock, and on control to answer a report with grants. Pure.
 */
import type { Clock } from '../common/clock.js';

/**
 * Control is asked for more of a group at most this often, in milliseconds; the time doubles while the answers bring no
 * permit, up to about that between heartbeats.
 */
const MIN_REQUEST_INTERVAL_MS = 50;
const MAX_REQUEST_INTERVAL_MS = 800;
/**
 * Asked less often than this for a group, in milliseconds, control has no more to grant: its requests are refused at once.
 * Passed with the fourth time in a row that brings no permit, 0.7 s after the first at the earliest.
 */
const EXHAUSTED_INTERVAL_MS = 400;
/** Reports of an ingress that runs short of several groups are this far apart at least, in milliseconds. */
const MIN_GAP_MS = 20;

/** How often control is asked for one group. */
export class GrantRequestBackoff {
  private lastRequestAt = -Infinity;
  /** Time for which control is not asked again, in milliseconds. */
  private intervalMs = MIN_REQUEST_INTERVAL_MS;

  /** Whether the answers of control have brought no permit for so long that waiting for one is in vain. */
  get isExhausted(): boolean {
    return this.intervalMs > EXHAUSTED_INTERVAL_MS;
  }

  onPermit(): void {
    this.intervalMs = MIN_REQUEST_INTERVAL_MS;
  }

  /** Milliseconds until control may be asked again. */
  msToNext(now: number): number {
    return Math.max(0, this.lastRequestAt + this.intervalMs - now);
  }

  /** Whether control is to be asked now; if so it is not asked again for twice as long as before. */
  tryRequest(now: number): boolean {
    if (now - this.lastRequestAt < this.intervalMs) return false;
    this.lastRequestAt = now;
    this.intervalMs = Math.min(MAX_REQUEST_INTERVAL_MS, 2 * this.intervalMs);
    return true;
  }
}

/** Asks control for all groups at once: those that run short within a moment share one report. */
export class GrantRequestBatcher {
  private lastReportAt = -Infinity;
  private isDue = false;

  /** @param sendReport sends a report */
  constructor(
    private readonly clock: Clock,
    private readonly sendReport: () => void,
  ) {}

  /** Asks now, or as soon as the last time is long enough ago. */
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
