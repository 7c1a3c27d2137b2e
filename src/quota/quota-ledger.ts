/**
 * What each ingress may let run of each group, as one replica of control knows it. Every replica hears every ingress, so
 * that a new leader knows what the one before it has granted; only a leader grants. For each group the commitments of
 * all ingresses together stay within what its quota gives in a window: an ingress is committed for what it may let run,
 * for what it has run, and for grants that it has not confirmed. Pure.
 */
import {
  QUOTA_LEASE_MS,
  type GroupGrant,
  type GroupUse,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';

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
  /** Whether it began empty after this replica had begun, or just before: what it held earlier is void. */
  readonly isFresh: boolean;
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
  /** Of ingresses that began empty. */
  committedToFresh: number;
  offered: number;
}

/** Processes that begin after one loss of power are up within this of one another, in milliseconds. */
const SAME_START_MS = 2_000;
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
    const isFresh = this.ingresses.get(id)?.isFresh ?? this.beganEmpty(report, now);
    const before = this.ingresses.get(id)?.commitments ?? new Map<string, Commitment>();
    const commitments = new Map<string, Commitment>();
    const entry: IngressEntry = { startedAt, sequence, heardAt: now, isFresh, commitments };
    this.ingresses.set(id, entry);
    for (const use of report.uses) {
      this.put(entry, { use, ...unconfirmed(before.get(use.group), report.adopted) });
    }
    for (const [group, commitment] of before) {
      this.count(group, -committedOf(commitment), entry);
      this.countOffered(group, -commitment.use.offered);
      if (!commitments.has(group)) this.keepUnconfirmed(entry, commitment, report);
    }
    return { sequence, grants: this.grant(entry, now) };
  }

  private grant(entry: IngressEntry, now: number): GroupGrant[] {
    const grants: GroupGrant[] = [];
    for (const [group, commitment] of entry.commitments) {
      const limit = this.options.limitOf(group);
      if (limit === undefined) continue;
      const allowance = this.allowanceOf(entry, commitment, limit, now);
      grants.push({ group, allowance });
      const before = committedOf(commitment);
      commitment.granted = Math.max(commitment.granted, allowance);
      commitment.grantedIn = entry.sequence;
      this.count(group, committedOf(commitment) - before, entry);
    }
    return grants;
  }

  private allowanceOf(
    entry: IngressEntry,
    commitment: Commitment,
    limit: number,
    now: number,
  ): number {
    const { use } = commitment;
    const { committed, offered } = this.totals.get(use.group)!;
    const free = Math.max(0, limit - (committed - committedOf(commitment)));
    const most = Math.min(free, this.mostWhileUnsure(entry, commitment, limit, now));
    // Whole requests only: a fraction would be taken from others for nothing.
    return Math.floor(Math.min(most, wishOf(use, offered, limit)));
  }

  /**
   * Until every grant of an earlier leader has ended, or was heard of, ingresses keep at most what they have: a leader that
   * began empty gave out what others held that were cut off, up to 1.12 times the bound in the simulation. What ingresses
   * held that have begun empty as well is void, and is given out again once what they ran has left every window: after a
   * loss of all power nothing ran for 8 s otherwise. Given out sooner, 1.35 times the bound ran under a surge.
   */
  private mostWhileUnsure(
    { isFresh }: IngressEntry,
    commitment: Commitment,
    limit: number,
    now: number,
  ): number {
    const { windowMs } = this.options;
    const ageMs = now - this.startedAt;
    if (ageMs >= QUOTA_LEASE_MS + windowMs) return Infinity;
    if (!isFresh || ageMs < windowMs) return commitment.use.held;
    const { committedToFresh } = this.totals.get(commitment.use.group)!;
    const given = committedToFresh - committedOf(commitment);
    return Math.max(0, limit * this.freshPart() - given);
  }

  /** Part of the ingresses that have begun empty. */
  private freshPart(): number {
    let fresh = 0;
    for (const { isFresh } of this.ingresses.values()) if (isFresh) fresh += 1;
    return fresh / this.ingresses.size;
  }

  private beganEmpty({ uptimeMs, uses }: QuotaReport, now: number): boolean {
    const isYounger = uptimeMs <= now - this.startedAt + SAME_START_MS;
    return isYounger && uses.every(({ held }) => held === 0);
  }

  /** A grant that is under way to an ingress which reported without the group. */
  private keepUnconfirmed(entry: IngressEntry, commitment: Commitment, report: QuotaReport): void {
    const { granted, grantedIn } = unconfirmed(commitment, report.adopted);
    if (granted === 0) return;
    const { group } = commitment.use;
    this.put(entry, { use: { group, used: 0, offered: 0, held: 0 }, granted, grantedIn });
  }

  private put(entry: IngressEntry, commitment: Commitment): void {
    const { use } = commitment;
    entry.commitments.set(use.group, commitment);
    this.count(use.group, committedOf(commitment), entry);
    this.countOffered(use.group, use.offered);
  }

  /** The process of an entry is gone; what it may have run counts for a window. */
  private retire(id: string, entry: IngressEntry, now: number): void {
    for (const [group, commitment] of entry.commitments) {
      const amount = committedOf(commitment);
      this.pastUses.push({ group, amount, until: now + this.options.windowMs });
      this.count(group, amount);
    }
    this.remove(id, entry);
  }

  private remove(id: string, entry: IngressEntry): void {
    this.ingresses.delete(id);
    for (const [group, commitment] of entry.commitments) {
      this.count(group, -committedOf(commitment), entry);
      this.countOffered(group, -commitment.use.offered);
    }
  }

  private expire(now: number): void {
    const { windowMs } = this.options;
    for (const { group, amount, until } of this.pastUses) {
      if (until <= now) this.count(group, -amount);
    }
    this.pastUses = this.pastUses.filter(({ until }) => until > now);
    for (const [id, entry] of this.ingresses) {
      if (now - entry.heardAt >= QUOTA_LEASE_MS + windowMs) this.remove(id, entry);
    }
  }

  private count(group: string, committed: number, entry?: IngressEntry): void {
    const totals = this.totalsOf(group);
    totals.committed += committed;
    if (entry?.isFresh === true) totals.committedToFresh += committed;
  }

  private countOffered(group: string, offered: number): void {
    this.totalsOf(group).offered += offered;
  }

  private totalsOf(group: string): GroupTotals {
    const totals = this.totals.get(group) ?? { committed: 0, committedToFresh: 0, offered: 0 };
    this.totals.set(group, totals);
    return totals;
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
