/** Logs when the replica set stops or starts to bear the losses that the settings name. Only the leader can tell. */
import type { Logger } from '../common/logger.js';

export class LossToleranceLogger {
  private logged: number | undefined;

  /** @param tolerated number of replicas that may be lost at once */
  constructor(
    private readonly logger: Logger,
    private readonly tolerated: number,
  ) {}

  /** Logs the number of losses that the set bears if it has changed. @param bearable undefined on other replicas than the leader */
  logChange(bearable: number | undefined): void {
    if (bearable === this.logged) return;
    this.logged = bearable;
    if (bearable === undefined) return;
    const { tolerated } = this;
    if (bearable < tolerated) {
      this.logger.warn('The replica set bears fewer losses than tolerated.', {
        bearable,
        tolerated,
      });
    } else this.logger.info('The replica set bears the tolerated losses.', { bearable, tolerated });
  }
}
