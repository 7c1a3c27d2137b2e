/**
 * The quotas of groups at one control replica: keeps the ledger of what ingresses may let run, with the limits of the
 * configuration here, and answers reports with grants where this replica leads. Decides only whether this replica may grant; how much is decided in
 * `quota/quota-ledger.ts`. Owns the ledger, in memory alone: grants end with their windows.
 */
import { handedOutInWindow, type QuotaRule } from '../quota/quota-rule.js';
import { QuotaLedger } from '../quota/quota-ledger.js';
import type { QuotaGrants, QuotaReport } from '../quota/quota-messages.js';
import type { LogStatus } from '../sync/status-report.js';
import type { ResourceStore } from './resource-store.js';
import { GroupTable } from '../policy/group-table.js';

/**
 * A leader grants only while a majority has confirmed it this lately, in milliseconds: one that was deposed steps down
 * within an election timeout.
 */
const CONFIRMED_WITHIN_MS = 1_000;

export class QuotaKeeper {
  private readonly ledger: QuotaLedger;
  private groups = new GroupTable();
  /** Of the store, when its groups were read. */
  private loadedRevision = -1;

  /** @param startedAt monotonic milliseconds since which every grant is known here */
  constructor(
    private readonly store: ResourceStore,
    private readonly rule: QuotaRule,
    startedAt: number,
  ) {
    const { windowMs } = rule;
    this.ledger = new QuotaLedger({ windowMs, limitOf: (group) => this.limitOf(group) }, startedAt);
  }

  /** An ingress has reported; undefined where this replica may not grant. */
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

  /** Requests in a window that may be handed out of a group; undefined where it has no limit. */
  limitOf(group: string): number | undefined {
    const rate = this.groups.get(group)?.rate;
    return rate === undefined ? undefined : handedOutInWindow(rate, this.rule);
  }

  private refreshGroups(): void {
    const { store } = this;
    if (store.revision === this.loadedRevision) return;
    this.loadedRevision = store.revision;
    this.groups = new GroupTable();
    for (const { resource } of store.list()) {
      if (resource.kind === 'Group') this.groups.addResource(resource);
    }
  }
}
