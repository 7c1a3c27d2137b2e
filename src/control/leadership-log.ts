/** What a replica logs of its role and its leader: one line for each change. Owns the state that it logged last. */
import type { Logger } from '../common/logger.js';
import type { LogStatus } from '../sync/status-report.js';

export class LeadershipLog {
  private logged = '';

  constructor(private readonly logger: Logger) {}

  /** Looks at the state once. */
  check({ role, term, leaderId }: Pick<LogStatus, 'role' | 'term' | 'leaderId'>): void {
    const text = `${role} ${leaderId ?? ''}`;
    if (text === this.logged) return;
    this.logged = text;
    this.logger.info('The role or the leader is another one.', { role, term, leader: leaderId });
  }
}
