/**
 * Answers quota reports of ingresses with grants. Every replica keeps the ledger, with the limits of its configuration, but only
 * the leader grants. The ledger is in memory only: grants expire with their windows. The ceilings of groups are replicated.
 */
import type { Logger } from '../common/logger.js';
import type { CeilingRecord } from '../quota/ceiling-record.js';
import { CONFIRMED_WITHIN_MS, type CeilingLog } from '../quota/group-ceilings.js';
import { grantableInWindow, type QuotaRule } from '../quota/quota-rule.js';
import { QuotaLedger } from '../quota/quota-ledger.js';
import type { QuotaGrants, QuotaReport } from '../quota/quota-messages.js';
import type { LogStatus } from '../sync/status-report.js';
import type { CommandLog } from './command-log.js';
import { CEILINGS_CHANGE_ID, CONTROL_ACTOR, NO_RESOURCE } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import { GroupTable } from '../policy/group-table.js';

export interface QuotaGranterOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  readonly rule: QuotaRule;
  /** Monotonic milliseconds since which the ledger includes every grant. */
  readonly startedAt: number;
  /** Milliseconds since the Unix epoch. */
  readonly wallClock: () => number;
  readonly logger: Logger;
}

export class QuotaGranter {
  private readonly ledger: QuotaLedger;
  private groups = new GroupTable();
  /** Revision of the store from which `groups` was read. */
  private loadedRevision = -1;

  constructor(private readonly options: QuotaGranterOptions) {
    const { rule, store, startedAt } = options;
    const ceilingLog: CeilingLog = {
      record: () => store.quotaCeilings,
      propose: (record, onOutcome) => void this.propose(record, onOutcome),
    };
    const { windowMs } = rule;
    const limitOf = (group: string): number | undefined => this.limitOf(group);
    this.ledger = new QuotaLedger({ windowMs, limitOf, ceilingLog }, startedAt);
  }

  /** Records the report of an ingress and returns its grants; undefined when this replica may not grant. */
  onReport(
    id: string,
    report: QuotaReport,
    { confirmedAgeMs }: Pick<LogStatus, 'confirmedAgeMs'>,
    now: number,
  ): QuotaGrants | undefined {
    this.refreshGroups();
    const grants = this.ledger.onReport(id, report, this.options.log.leaderTerms(), now);
    const mayGrant = confirmedAgeMs !== undefined && confirmedAgeMs <= CONFIRMED_WITHIN_MS;
    return mayGrant ? grants : undefined;
  }

  /** Number of requests of a group that may be granted per window; undefined if the group has no limit. */
  limitOf(group: string): number | undefined {
    const rate = this.groups.get(group)?.rate;
    return rate === undefined ? undefined : grantableInWindow(rate, this.options.rule);
  }

  private async propose(
    record: CeilingRecord,
    onOutcome: (isApplied: boolean) => void,
  ): Promise<void> {
    const { log, wallClock, logger } = this.options;
    const { term, raised } = record;
    const outcome = await log.propose({
      type: 'delete',
      target: NO_RESOURCE,
      precondition: 'any',
      changeId: CEILINGS_CHANGE_ID,
      actor: CONTROL_ACTOR,
      at: wallClock(),
      quotaCeilings: record,
    });
    onOutcome(outcome.type === 'applied');
    if (outcome.type === 'applied') {
      logger.info('Recorded the ceilings of quotas.', { term, raised: raised.length });
    } else {
      const cause = outcome.refusal.type;
      logger.warn('Could not record the ceilings of quotas; retrying.', { term, cause });
    }
  }

  private refreshGroups(): void {
    const { store } = this.options;
    if (store.revision === this.loadedRevision) return;
    this.loadedRevision = store.revision;
    this.groups = new GroupTable();
    for (const { resource } of store.list()) {
      if (resource.kind === 'Group') this.groups.addSetGroup(resource);
    }
  }
}
