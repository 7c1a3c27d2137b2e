/** Logs the slow phases of a target, which may be many and short: at most one in a while, with the number left out. */
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import type { SlowPhaseChange } from '../gate/target-load-tracker.js';

/** Minimum time between two logged phases, in milliseconds. */
const MIN_INTERVAL_MS = 60_000;

export class SlowPhaseLog {
  private loggedAt = -Infinity;
  private isPhaseLogged = false;
  /** Phases that were not logged since the last one that was. */
  private omitted = 0;

  /** @param instance id of the current target */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly instance: () => string | undefined,
  ) {}

  onChange(change: SlowPhaseChange): void {
    if (change.type === 'slowed') this.onSlowed(change.slowdown, change.usual);
    else this.onRecovered(change.lastedMs);
  }

  private onSlowed(slowdown: number, usual: number): void {
    const now = this.clock.now();
    this.isPhaseLogged = now - this.loggedAt >= MIN_INTERVAL_MS;
    if (!this.isPhaseLogged) {
      this.omitted += 1;
      return;
    }
    this.loggedAt = now;
    const { omitted } = this;
    this.omitted = 0;
    const instance = this.instance();
    this.logger.info('The target is slowed down.', { instance, slowdown, usual, omitted });
  }

  private onRecovered(lastedMs: number): void {
    if (!this.isPhaseLogged) return;
    const instance = this.instance();
    this.logger.info('The target works at its usual speed again.', { instance, lastedMs });
  }
}
