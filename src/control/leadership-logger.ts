/** Logs changes of the role of this replica and of its leader, one line for each change. */
import type { Logger } from '../common/logger.js';
import type { LogStatus } from '../sync/status-report.js';

export class LeadershipLogger {
  private logged = '';

  constructor(private readonly logger: Logger) {}

  /** Logs the state if the role or the leader has changed since the last call. */
  logChange({ role, term, leaderId }: Pick<LogStatus, 'role' | 'term' | 'leaderId'>): void {
    const text = `${role} ${leaderId ?? ''}`;
    if (text === this.logged) return;
    this.logged = text;
    this.logger.info('Role or leader changed.', { role, term, leader: leaderId });
  }
}
