/**
 * Logs the syncs of a follower: the first of consecutive failures, the recovery, aborted syncs, and revisions that a replica
 * reports but that are not applied here. They show whether a process that is behind is waiting for a response, is
 * refused, or received no changes.
 */
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { ExchangeFailure, type Exchange } from '../http/control-client.js';

export class SyncLog {
  private reported = 0;
  private origin = '';
  private sentAt: number;
  /** Number of failed syncs since the last successful one. */
  private failures = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.sentAt = clock.now();
  }

  /** Newest revision reported by a heartbeat reply; 0 if there is none. */
  get reportedRevision(): number {
    return this.reported;
  }

  /** Milliseconds since the current sync was sent. */
  get heldMs(): number {
    return Math.round(this.clock.now() - this.sentAt);
  }

  onSent(origin: string): void {
    this.origin = origin;
    this.sentAt = this.clock.now();
  }

  /** Logs that the current sync is aborted for `cause` and will be sent again. */
  onAborted(cause: string): void {
    const { origin, heldMs } = this;
    this.logger.info('Aborted a stalled sync; retrying.', { origin, heldMs, cause });
  }

  /** Logs the first of consecutive failures, and the first success after them. */
  onEnd(exchange: Exchange<unknown>): void {
    const { origin, heldMs, failures } = this;
    if (exchange.type === 'answered') {
      if (failures > 0) this.logger.info('Syncs with control succeed again.', { origin, failures });
      this.failures = 0;
      return;
    }
    const { failure, detail } = exchange;
    // The caller that aborted it has logged the cause.
    if (failure === ExchangeFailure.Aborted) return;
    this.failures += 1;
    if (failures > 0) return;
    this.logger.info('A sync failed.', { origin, heldMs, failure, detail });
  }

  /** Logs a newly reported revision that is newer than the `applied` one. */
  onRevisionReported(reportedBy: string, revision: number, applied: number): void {
    if (revision <= this.reported) return;
    this.reported = revision;
    if (revision <= applied) return;
    const { origin, heldMs } = this;
    const fields = {
      revision,
      applied,
      toldBy: reportedBy,
      syncedWith: origin,
      syncHeldMs: heldMs,
    };
    this.logger.info('A replica reported a revision that is not applied here.', fields);
  }
}
