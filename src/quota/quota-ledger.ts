/**
 * What each ingress may let run of each group, as one replica of control knows it. Every replica hears every ingress, so
 * that a new leader knows what the one before it has granted; only a leader grants. For each group the commitments of
 * all ingresses together stay within what its quota gives in a window: an ingress is committed for what it may let run,
 * for what it has run, and for grants that it has not confirmed.
 *
 * Owns the commitments of all ingresses. Relies on {@link allowanceOf} for how much is granted, and on ingresses to report
 * with each heartbeat. Pure: time and reports come in.
 */
import { allowanceOf } from './grant-rule.js';
import { committedOf, CommitmentTotals, unconfirmed, type Commitment } from './commitments.js';
import {
  QUOTA_LEASE_MS,
  type GroupGrant,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';

/** What the ledger is made of. */
export interface QuotaLedgerOptions {
  readonly windowMs: number;
  /** Requests in a window that may be handed out of a group; undefined where it has no limit. */
  readonly limitOf: (group: string) => number | undefined;
}

interface IngressEntry {
  /** Start of the process, in milliseconds since 1970, by its own clock. */
  readonly startedAt: number;
  /** Of the newest report. */
  readonly sequence: number;
  /** Monotonic milliseconds. */
  readonly lastReportAt: number;
  /** Whether it began empty after this replica had begun, or just before: what it held earlier is void. */
  readonly isFresh: boolean;
  readonly commitments: Map<string, Commitment>;
}

/** What a process that is gone may have run of a group. */
interface PastUse {
  readonly group: string;
  /** Requests in a window. */
  readonly amount: number;
  /** Monotonic milliseconds at which the last of it has left every window. */
  readonly until: number;
}

/** Processes that begin after one loss of power are up within this of one another, in milliseconds. */
const MAX_START_SKEW_MS = 2_000;

export class QuotaLedger {
  private readonly ingresses = new Map<string, IngressEntry>();
  private readonly totals = new CommitmentTotals();
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
    const isRestarted = known !== undefined && known.startedAt !== report.startedAt;
    if (isRestarted) this.retire(id, known, now);
    const before = isRestarted ? undefined : known;
    const { startedAt, sequence } = report;
    const isFresh = before?.isFresh ?? this.hasStartedEmpty(report, now);
    const commitments = new Map<string, Commitment>();
    const entry: IngressEntry = { startedAt, sequence, lastReportAt: now, isFresh, commitments };
    this.ingresses.set(id, entry);
    this.adopt(entry, report, before?.commitments ?? NO_COMMITMENTS);
    return { sequence, grants: this.grant(entry, now) };
  }

  /** Puts what the ingress reports, with the grants that it has not confirmed, in the place of what was known before. */
  private adopt(
    entry: IngressEntry,
    { uses, adopted }: QuotaReport,
    before: ReadonlyMap<string, Commitment>,
  ): void {
    for (const use of uses) {
      this.addCommitment(entry, { use, ...unconfirmed(before.get(use.group), adopted) });
    }
    for (const [group, commitment] of before) {
      this.totals.remove(commitment, entry.isFresh);
      if (!entry.commitments.has(group)) this.keepUnconfirmed(entry, commitment, adopted);
    }
  }

  /** A grant that is under way to an ingress which reported without the group. */
  private keepUnconfirmed(entry: IngressEntry, commitment: Commitment, adopted: number): void {
    const { granted, grantSequence } = unconfirmed(commitment, adopted);
    if (granted === 0) return;
    const { group } = commitment.use;
    this.addCommitment(entry, {
      use: { group, used: 0, offered: 0, held: 0 },
      granted,
      grantSequence,
    });
  }

  private addCommitment(entry: IngressEntry, commitment: Commitment): void {
    entry.commitments.set(commitment.use.group, commitment);
    this.totals.add(commitment, entry.isFresh);
  }

  private grant(entry: IngressEntry, now: number): GroupGrant[] {
    const grants: GroupGrant[] = [];
    for (const [group, commitment] of entry.commitments) {
      const limit = this.options.limitOf(group);
      if (limit === undefined) continue;
      const allowance = allowanceOf({
        commitment,
        totals: this.totals.of(group),
        limit,
        windowMs: this.options.windowMs,
        knownForMs: now - this.startedAt,
        isFresh: entry.isFresh,
        freshPart: () => this.freshPart(),
      });
      grants.push({ group, allowance });
      this.onGranted(entry, commitment, allowance);
    }
    return grants;
  }

  private onGranted(entry: IngressEntry, commitment: Commitment, allowance: number): void {
    const before = committedOf(commitment);
    commitment.granted = Math.max(commitment.granted, allowance);
    commitment.grantSequence = entry.sequence;
    this.totals.commit(commitment.use.group, committedOf(commitment) - before, entry.isFresh);
  }

  /** Part of the ingresses that have begun empty. */
  private freshPart(): number {
    let fresh = 0;
    for (const { isFresh } of this.ingresses.values()) if (isFresh) fresh += 1;
    return fresh / this.ingresses.size;
  }

  private hasStartedEmpty({ uptimeMs, uses }: QuotaReport, now: number): boolean {
    const isYounger = uptimeMs <= now - this.startedAt + MAX_START_SKEW_MS;
    return isYounger && uses.every(({ held }) => held === 0);
  }

  /** The process of an entry is gone; what it may have run counts for a window. */
  private retire(id: string, entry: IngressEntry, now: number): void {
    for (const [group, commitment] of entry.commitments) {
      const amount = committedOf(commitment);
      this.pastUses.push({ group, amount, until: now + this.options.windowMs });
      this.totals.commit(group, amount, false);
    }
    this.remove(id, entry);
  }

  private remove(id: string, entry: IngressEntry): void {
    this.ingresses.delete(id);
    for (const commitment of entry.commitments.values()) {
      this.totals.remove(commitment, entry.isFresh);
    }
  }

  /** Forgets past uses that have left every window, and ingresses whose grants have ended and left it as well. */
  private expire(now: number): void {
    const { windowMs } = this.options;
    for (const { group, amount, until } of this.pastUses) {
      if (until <= now) this.totals.commit(group, -amount, false);
    }
    this.pastUses = this.pastUses.filter(({ until }) => until > now);
    for (const [id, entry] of this.ingresses) {
      if (now - entry.lastReportAt >= QUOTA_LEASE_MS + windowMs) this.remove(id, entry);
    }
  }
}

const NO_COMMITMENTS: ReadonlyMap<string, Commitment> = new Map();

/** Whether a report was sent before the one that the entry has. */
function isOlder({ startedAt, sequence }: QuotaReport, entry: IngressEntry): boolean {
  return startedAt === entry.startedAt && sequence <= entry.sequence;
}
