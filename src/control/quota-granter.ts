/**
 * Answers quota reports of ingresses with grants. Every replica keeps the ledger, with the limits of its configuration, but only
 * the leader grants. The ledger is in memory only: grants expire with their windows.
 */
import { grantableInWindow, type QuotaRule } from '../quota/quota-rule.js';
import { QuotaLedger } from '../quota/quota-ledger.js';
import type { QuotaGrants, QuotaReport } from '../quota/quota-messages.js';
import type { LogStatus } from '../sync/status-report.js';
import type { ResourceStore } from './resource-store.js';
import { GroupTable } from '../policy/group-table.js';

/**
 * Maximum time in milliseconds since a majority last confirmed the leader. Without recent confirmation another leader may have
 * been elected, and both would grant.
 */
const CONFIRMED_WITHIN_MS = 1_000;

export class QuotaGranter {
  private readonly ledger: QuotaLedger;
  private groups = new GroupTable();
  /** Revision of the store from which `groups` was read. */
  private loadedRevision = -1;

  /** @param startedAt monotonic milliseconds since which the ledger includes every grant */
  constructor(
    private readonly store: ResourceStore,
    private readonly rule: QuotaRule,
    startedAt: number,
  ) {
    const { windowMs } = rule;
    this.ledger = new QuotaLedger({ windowMs, limitOf: (group) => this.limitOf(group) }, startedAt);
  }

  /** Records the report of an ingress and returns its grants; undefined when this replica may not grant. */
  onReport(
    id: string,
    report: QuotaReport,
    { confirmedAgeMs }: Pick<LogStatus, 'confirmedAgeMs'>,
    now: number,
  ): QuotaGrants | undefined {
    this.refreshGroups();
    const grants = this.ledger.onReport(id, report, now);
    const mayGrant = confirmedAgeMs !== undefined && confirmedAgeMs <= CONFIRMED_WITHIN_MS;
    return mayGrant ? grants : undefined;
  }

  /** Number of requests of a group that may be granted per window; undefined if the group has no limit. */
  limitOf(group: string): number | undefined {
    const rate = this.groups.get(group)?.rate;
    return rate === undefined ? undefined : grantableInWindow(rate, this.rule);
  }

  private refreshGroups(): void {
    const { store } = this;
    if (store.revision === this.loadedRevision) return;
    this.loadedRevision = store.revision;
    this.groups = new GroupTable();
    for (const { resource } of store.list()) {
      if (resource.kind === 'Group') this.groups.addSetGroup(resource);
    }
  }
}
