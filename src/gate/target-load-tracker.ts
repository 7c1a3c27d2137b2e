/**
 * Tracks the load that the target beside this gate reports in the heads of its answers, and detects phases in which it works
 * much more slowly than it usually does. Such phases may be shorter than a second: the gate sees them with the next answer,
 * long before its callers do. Covers one incarnation of the target; without reports, nothing is known.
 */
import type { Clock } from '../common/clock.js';
import type { TargetLoad } from '../http/target-load.js';

/** Age from which a report is outdated, in milliseconds: slow phases are about as short. */
const MAX_AGE_MS = 500;

/** Smoothing factor of the usual slowdown, an exponential moving average over about a hundred reports. */
const SMOOTHING_FACTOR = 0.01;

/** Cap for a single sample as a multiple of the usual slowdown, so that slow phases don't raise it much. */
const MAX_SAMPLE_RATIO = 1.5;

/** Multiple of the usual slowdown from which the target counts as slowed down. */
const SLOWED_RATIO = 2;

/** Multiple below which a slow phase is over. Lower than {@link SLOWED_RATIO}, so that figures in between don't alternate. */
const RECOVERED_RATIO = 1.5;

/** Beginning or end of a slow phase. */
export type SlowPhaseChange =
  | { readonly type: 'slowed'; readonly slowdown: number; readonly usual: number }
  | { readonly type: 'recovered'; readonly lastedMs: number };

export class TargetLoadTracker {
  private latest: TargetLoad | undefined;
  /** Monotonic milliseconds. */
  private latestAt = -Infinity;
  /** Usual slowdown; undefined before the first report of one. */
  private usual: number | undefined;
  private reports = 0;
  /** Begin of the slow phase in monotonic milliseconds; undefined outside of one. */
  private slowedSince: number | undefined;

  /** @param onChange called when a slow phase begins or ends */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: (change: SlowPhaseChange) => void,
  ) {}

  /** Forgets all reports: the target was replaced. */
  reset(): void {
    this.latest = undefined;
    this.usual = undefined;
    this.reports = 0;
    this.slowedSince = undefined;
  }

  /** Records the load in the head of an answer. */
  onReport(load: TargetLoad): void {
    this.latest = load;
    this.latestAt = this.clock.now();
    if (load.slowdown === undefined) return;
    this.updatePhase(load.slowdown);
    this.updateUsual(load.slowdown);
  }

  /** The latest load; undefined if the target reports none, or not recently. */
  get current(): TargetLoad | undefined {
    return this.clock.now() - this.latestAt <= MAX_AGE_MS ? this.latest : undefined;
  }

  /** Present slowdown as a multiple of the usual one if the target is slowed down; otherwise undefined. */
  get slowedRatio(): number | undefined {
    const slowdown = this.current?.slowdown;
    if (slowdown === undefined || this.slowedSince === undefined) return undefined;
    return slowdown / this.usual!;
  }

  private updatePhase(slowdown: number): void {
    const usual = this.usual ?? slowdown;
    if (this.slowedSince === undefined) {
      if (slowdown < SLOWED_RATIO * usual) return;
      this.slowedSince = this.latestAt;
      this.onChange({ type: 'slowed', slowdown, usual });
    } else if (slowdown < RECOVERED_RATIO * usual) {
      const lastedMs = this.latestAt - this.slowedSince;
      this.slowedSince = undefined;
      this.onChange({ type: 'recovered', lastedMs });
    }
  }

  /** Averages the first reports evenly, so that the average does not depend on the very first one for long. */
  private updateUsual(slowdown: number): void {
    this.reports += 1;
    const usual = this.usual ?? slowdown;
    const counted = Math.min(slowdown, MAX_SAMPLE_RATIO * usual);
    this.usual = usual + Math.max(SMOOTHING_FACTOR, 1 / this.reports) * (counted - usual);
  }
}
