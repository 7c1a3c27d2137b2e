/**
 * What each ingress may let run of each group, as one replica of control knows it. Every replica hears every ingress, so
 * that a new leader knows what the one before it has granted; only a leader grants. For each group the commitments of
 * all ingresses together stay within what its quota gives in a window: an ingress is committed for what it may let run,
 * for what it has run, and for grants that it has not confirmed. Pure.
 */
import type { GroupGrant, GroupUse, QuotaGrants, QuotaReport } from './quota-messages.js';
import { QUOTA_LEASE_MS } from './quota-messages.js';

/** What the ledger is made of. */
export interface QuotaLedgerOptions {
  readonly windowMs: number;
  /** Requests in a window that may be handed out of a group; undefined where it has no limit. */
  readonly limitOf: (group: string) => number | undefined;
}

/** One group at one ingress. */
interface Commitment {
  readonly use: GroupUse;
  /** Largest grant that the ingress has not confirmed. */
  granted: number;
  /** Report that it answers. */
  grantedIn: number;
}

interface IngressEntry {
  readonly startedAt: number;
  readonly sequence: number;
  readonly heardAt: number;
  readonly commitments: Map<string, Commitment>;
}

/** What a process that is gone may have run of a group. */
interface PastUse {
  readonly group: string;
  readonly amount: number;
  /** Monotonic milliseconds at which the last of it has left every window. */
  readonly until: number;
}

/** Sums over all ingresses, for one group. */
interface GroupTotals {
  committed: number;
  offered: number;
}

/** An ingress gets at least this many requests more than it was offered: demand may rise before it asks again. */
const MIN_SPARE = 1;
/** An ingress that has been offered few requests gets up to this many more, and up to twice what it was offered. */
const START_SPARE = 2;
/**
 * More than a limit that is offered, as a part of it, from which the limit is divided; below, whoever runs short first
 * gets what is left, which wastes less of it.
 */
const OVERLOADED_FROM = 1.1;
/** Part of a limit that is divided where more is offered; the rest is for ingresses that begin to be offered requests. */
const OVERLOADED_PART = 0.95;

export class QuotaLedger {
  private readonly ingresses = new Map<string, IngressEntry>();
  private readonly totals = new Map<string, GroupTotals>();
  private pastUses: PastUse[] = [];
  /** @param startedAt monotonic milliseconds since which every grant is known here */
  constructor(
    private readonly options: QuotaLedgerOptions,
    private readonly startedAt: number,
  ) {}

  /**
   * An ingress has reported. A replica that does not lead works out the same grants, so that it knows about what the
   * ingress may have been given should it lead next.
   * @returns what a leader grants; undefined where the ingress has told something newer before
   */
  onReport(id: string, report: QuotaReport, now: number): QuotaGrants | undefined {
    this.expire(now);
    const known = this.ingresses.get(id);
    if (known !== undefined && isOlder(report, known)) return undefined;
    if (known !== undefined && known.startedAt !== report.startedAt) this.retire(id, known, now);
    const { startedAt, sequence } = report;
    const before = this.ingresses.get(id)?.commitments ?? new Map<string, Commitment>();
    const commitments = new Map<string, Commitment>();
    this.ingresses.set(id, { startedAt, sequence, heardAt: now, commitments });
    for (const use of report.uses) {
      this.put(commitments, { use, ...unconfirmed(before.get(use.group), report.adopted) });
    }
    for (const [group, commitment] of before) {
      this.count(group, -committedOf(commitment), commitment.use, -1);
      if (!commitments.has(group)) this.keepUnconfirmed(commitments, group, commitment, report);
    }
    return { sequence, grants: this.grant(commitments, sequence, now) };
  }

  /** Most requests of the group in a window that all ingresses together may let run now. */
  committed(group: string): number {
    return this.totals.get(group)?.committed ?? 0;
  }

  private grant(
    commitments: ReadonlyMap<string, Commitment>,
    sequence: number,
    now: number,
  ): GroupGrant[] {
    const grants: GroupGrant[] = [];
    for (const [group, commitment] of commitments) {
      const limit = this.options.limitOf(group);
      if (limit === undefined) continue;
      const allowance = this.allowanceOf(group, commitment, limit, now);
      grants.push({ group, allowance });
      const before = committedOf(commitment);
      commitment.granted = Math.max(commitment.granted, allowance);
      commitment.grantedIn = sequence;
      this.count(group, committedOf(commitment) - before);
    }
    return grants;
  }

  private allowanceOf(group: string, commitment: Commitment, limit: number, now: number): number {
    const { committed, offered } = this.totals.get(group)!;
    const { use } = commitment;
    const free = Math.max(0, limit - (committed - committedOf(commitment)));
    const most = this.knowsAll(now) ? free : Math.min(free, use.held);
    // Whole requests only: a fraction would be taken from others for nothing.
    return Math.floor(Math.min(most, wishOf(use, offered, limit)));
  }

  /**
   * Whether every grant of an earlier leader has ended, or was heard of. Until then ingresses keep at most what they have:
   * a leader that began empty gave out what others held that were cut off, up to 1.12 times the bound in the simulation.
   */
  private knowsAll(now: number): boolean {
    return now - this.startedAt >= QUOTA_LEASE_MS + this.options.windowMs;
  }

  /** A grant that is under way to an ingress which reported without the group. */
  private keepUnconfirmed(
    commitments: Map<string, Commitment>,
    group: string,
    commitment: Commitment,
    report: QuotaReport,
  ): void {
    const { granted, grantedIn } = unconfirmed(commitment, report.adopted);
    if (granted === 0) return;
    this.put(commitments, {
      use: { group, used: 0, offered: 0, held: 0 },
      granted,
      grantedIn,
    });
  }

  private put(commitments: Map<string, Commitment>, commitment: Commitment): void {
    const { use } = commitment;
    commitments.set(use.group, commitment);
    this.count(use.group, committedOf(commitment), use, 1);
  }

  /** The process of an entry is gone; what it may have run counts for a window. */
  private retire(id: string, entry: IngressEntry, now: number): void {
    this.ingresses.delete(id);
    for (const [group, commitment] of entry.commitments) {
      const amount = committedOf(commitment);
      this.count(group, 0, commitment.use, -1);
      this.pastUses.push({ group, amount, until: now + this.options.windowMs });
    }
  }

  private expire(now: number): void {
    const { windowMs } = this.options;
    for (const { group, amount, until } of this.pastUses) {
      if (until <= now) this.count(group, -amount);
    }
    this.pastUses = this.pastUses.filter(({ until }) => until > now);
    for (const [id, entry] of this.ingresses) {
      if (now - entry.heardAt < QUOTA_LEASE_MS + windowMs) continue;
      this.ingresses.delete(id);
      for (const [group, commitment] of entry.commitments) {
        this.count(group, -committedOf(commitment), commitment.use, -1);
      }
    }
  }

  /** @param use what an ingress has told, added to the sums or (with `sign` -1) taken from them */
  private count(group: string, committed: number, use?: GroupUse, sign: 1 | -1 = 1): void {
    const totals = this.totals.get(group) ?? { committed: 0, offered: 0 };
    this.totals.set(group, totals);
    totals.committed += committed;
    if (use === undefined) return;
    totals.offered += sign * use.offered;
  }
}

/** Whether a report was sent before the one that the entry has. */
function isOlder({ startedAt, sequence }: QuotaReport, entry: IngressEntry): boolean {
  return startedAt === entry.startedAt && sequence <= entry.sequence;
}

/** What remains under way of a grant once the ingress has adopted the answers up to the report `adopted`. */
function unconfirmed(
  commitment: Commitment | undefined,
  adopted: number,
): Pick<Commitment, 'granted' | 'grantedIn'> {
  const { granted = 0, grantedIn = 0 } = commitment ?? {};
  return grantedIn <= adopted ? { granted: 0, grantedIn: 0 } : { granted, grantedIn };
}

/** Most that the ingress may have run in a window. */
function committedOf({ use, granted }: Commitment): number {
  return Math.max(use.held, use.used, granted);
}

/**
 * What an ingress is to have. While all together stay within the limit: what it was offered, and of what is left a part that
 * shrinks as the limit comes near, so that more remains for whoever runs short. Beyond the limit: a part of it as large as
 * its part of what is offered.
 */
function wishOf({ offered, used }: GroupUse, offeredToAll: number, limit: number): number {
  if (offered === 0 && used === 0) return 0;
  const part = offered / Math.max(1, offeredToAll);
  if (offeredToAll > OVERLOADED_FROM * limit) return limit * OVERLOADED_PART * part;
  const left = Math.max(0, limit - offeredToAll);
  const spare = (left / limit) * left * part;
  return offered + Math.max(MIN_SPARE, Math.min(spare, offered + START_SPARE));
}
