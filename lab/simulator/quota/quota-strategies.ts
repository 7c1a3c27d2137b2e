/**
 * Strategies to enforce a group's quota over many ingresses: the product's leases, and two that violate a
 * requirement, which shows that the tests detect violations.
 */
import type { Clock } from '../../../src/common/clock.js';
import type { HeatEvent } from '../../../src/quota/heat-recorder.js';
import { IngressQuota } from '../../../src/quota/ingress-quota.js';
import type { PermitCallback, PermitRequest } from '../../../src/quota/ingress-quota.js';
import type { LeaderTerms } from '../../../src/quota/group-ceilings.js';
import { QuotaLedger, type QuotaLedgerOptions } from '../../../src/quota/quota-ledger.js';
import type { QuotaGrants, QuotaReport } from '../../../src/quota/quota-messages.js';
import { SlidingWindowCounter } from '../../../src/common/sliding-window-counter.js';

export type QuotaStrategyName = 'leases' | 'equal-parts' | 'proportional';

/** The part of a strategy that runs at an ingress. */
export interface IngressSide {
  acquire(request: PermitRequest, listener: PermitCallback): void;
  report(): QuotaReport;
  onGrants(grants: QuotaGrants, askedAt: number): void;
}

/** The part of a strategy that runs at a control replica. */
export interface ControlSide {
  /**
   * @param terms undefined if the replica does not lead
   * @returns the grants that a leader sends; undefined if a newer report was received before
   */
  onReport(
    id: string,
    report: QuotaReport,
    terms: LeaderTerms | undefined,
    now: number,
  ): QuotaGrants | undefined;
}

/** Options of the ingress side of a strategy. */
export interface IngressSideOptions {
  readonly clock: Clock;
  readonly startedAt: number;
  readonly windowMs: number;
  readonly ingresses: number;
  readonly limitOf: (group: string) => number | undefined;
  readonly onGrantNeeded: () => void;
  readonly onHeat?: (event: HeatEvent) => void;
}

/** Creates both sides of a strategy. */
export interface QuotaStrategy {
  ingress(options: IngressSideOptions): IngressSide;
  control(options: QuotaLedgerOptions, startedAt: number): ControlSide;
}

/** Counts admitted and offered requests locally; subclasses define the local limit. */
abstract class CountingIngress implements IngressSide {
  protected readonly used = new Map<string, SlidingWindowCounter>();
  protected readonly offered = new Map<string, SlidingWindowCounter>();

  private sequence = 0;

  constructor(protected readonly options: IngressSideOptions) {}

  acquire({ group: { name } }: PermitRequest, listener: PermitCallback): void {
    const now = this.options.clock.now();
    this.countOf(this.offered, name).add(now);
    const used = this.countOf(this.used, name);
    if (used.total(now) + 1 > this.localLimit(name, now)) {
      listener(undefined);
      return;
    }
    const step = used.add(now);
    listener({ release: () => used.remove(step, this.options.clock.now()) });
  }

  report(): QuotaReport {
    const now = this.options.clock.now();
    const uses = [...this.offered].map(([group, count]) => ({
      group,
      used: 0,
      offered: count.total(now),
      held: 0,
    }));
    this.sequence += 1;
    const { sequence } = this;
    return { startedAt: this.options.startedAt, uptimeMs: now, sequence, adopted: 0, uses };
  }

  abstract onGrants(grants: QuotaGrants, askedAt: number): void;

  protected abstract localLimit(group: string, now: number): number;

  private countOf(counts: Map<string, SlidingWindowCounter>, group: string): SlidingWindowCounter {
    const count = counts.get(group) ?? new SlidingWindowCounter(this.options.windowMs);
    counts.set(group, count);
    return count;
  }
}

/** Divides the limit by the number of ingresses. */
class EqualShareIngress extends CountingIngress {
  onGrants(): void {
    // The local limit does not depend on grants.
  }

  protected localLimit(group: string): number {
    return (this.options.limitOf(group) ?? Infinity) / this.options.ingresses;
  }
}

/**
 * Divides the limit in proportion to the requests offered to all ingresses at the last heartbeat, without leases.
 */
class ProportionalIngress extends CountingIngress {
  private readonly totals = new Map<string, number>();

  onGrants({ grants }: QuotaGrants): void {
    for (const { group, allowance } of grants) this.totals.set(group, allowance);
  }

  protected localLimit(group: string, now: number): number {
    const own = this.offered.get(group)?.total(now) ?? 0;
    const total = Math.max(this.totals.get(group) ?? 0, own);
    return ((this.options.limitOf(group) ?? Infinity) * own) / total;
  }
}

/** Grants each ingress the total number of requests offered to all of them. */
class OfferedTotalsControl implements ControlSide {
  private readonly reports = new Map<string, QuotaReport>();

  onReport(id: string, report: QuotaReport): QuotaGrants {
    this.reports.set(id, report);
    const grants = report.uses.map(({ group }) => ({ group, allowance: this.totalOf(group) }));
    return { sequence: report.sequence, grants };
  }

  private totalOf(group: string): number {
    let total = 0;
    for (const { uses } of this.reports.values()) {
      total += uses.find((use) => use.group === group)?.offered ?? 0;
    }
    return total;
  }
}

export const QUOTA_STRATEGIES: Readonly<Record<QuotaStrategyName, QuotaStrategy>> = {
  leases: {
    ingress: (options) => new IngressQuota(options),
    control: (options, startedAt) => new QuotaLedger(options, startedAt),
  },
  'equal-parts': {
    ingress: (options) => new EqualShareIngress(options),
    control: () => new OfferedTotalsControl(),
  },
  proportional: {
    ingress: (options) => new ProportionalIngress(options),
    control: () => new OfferedTotalsControl(),
  },
};
