/**
 * Whether the target of a node is leaving. Targets of nodes send no reports: one announces its shutdown in its answers, and
 * its successor serves the same address. The target counts as leaving until its port refuses connections, or until a time
 * after which it must have ended, in case a successor listened before that was noticed.
 */
import type { Clock, Timer } from '../common/clock.js';

/** Interval at which the port is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
/** Maximum time that a target takes to leave, in milliseconds. */
const MAX_LEAVING_MS = 60_000;

export class LeavingTarget {
  private leavingSince: number | undefined;
  private timer: Timer | undefined;

  /**
   * @param refusesConnections whether no process listens at the target's address
   * @param onEnded called when the target has ended
   */
  constructor(
    private readonly clock: Clock,
    private readonly refusesConnections: () => Promise<boolean>,
    private readonly onEnded: () => void,
  ) {}

  get isLeaving(): boolean {
    return this.leavingSince !== undefined;
  }

  /** The target announced its shutdown. */
  begin(): void {
    if (this.isLeaving) return;
    this.leavingSince = this.clock.now();
    this.scheduleCheck();
  }

  /** Stops the checks. */
  stop(): void {
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    this.timer = this.clock.schedule(CHECK_INTERVAL_MS, () => void this.check());
  }

  private async check(): Promise<void> {
    const hasEnded = await this.refusesConnections();
    const { leavingSince } = this;
    if (leavingSince === undefined) return;
    if (!hasEnded && this.clock.now() - leavingSince < MAX_LEAVING_MS) {
      this.scheduleCheck();
      return;
    }
    this.leavingSince = undefined;
    this.onEnded();
  }
}
