/**
 * Tracks the share of the runs at the target beside this gate that ended without a usable answer: lost with their connection,
 * answered for another request, rejected although the target has room, or failed. Only this gate sees all runs of its target;
 * each of many callers would need seconds to notice that some of them fail. Reported to callers, which send their calls to
 * other targets meanwhile (routing/reliable-targets.ts). Covers one incarnation of the target.
 */
import type { Clock } from '../common/clock.js';

/** Smoothing factor of the share, an exponential moving average over about ten runs. */
const SMOOTHING_FACTOR = 0.1;

/** Time constant with which the share decays without runs, in milliseconds, so that the target is tried again. */
const DECAY_MS = 10_000;

/** Share from which a call that must not run twice is better off at another target. */
const FAILING_SHARE = 0.15;

/** Share below which nothing is reported: that of a single unserved run after a served one. */
const MIN_REPORTED_SHARE = 0.1;

export class UnservedRuns {
  private share = 0;
  /** Monotonic milliseconds. */
  private updatedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Forgets all runs: the target was replaced. */
  reset(): void {
    this.share = 0;
  }

  /** Records the end of a run. */
  onRun(isServed: boolean): void {
    const before = this.current();
    this.share = before + SMOOTHING_FACTOR * ((isServed ? 0 : 1) - before);
    this.updatedAt = this.clock.now();
  }

  /** Whether so many runs go unserved that a call with another target to go to should not run here. */
  get isFailing(): boolean {
    return this.current() >= FAILING_SHARE;
  }

  /** The share to report to callers, 0 to 1; undefined if it is negligible. */
  reportedShare(): number | undefined {
    const share = this.current();
    return share < MIN_REPORTED_SHARE ? undefined : share;
  }

  private current(): number {
    return this.share * Math.exp((this.updatedAt - this.clock.now()) / DECAY_MS);
  }
}
