/**
 * Tracks at one control replica how many requests of each group every ingress may run in a window, and computes grants so
 * that the total of each group stays within its limit. A commitment covers the current grant, the requests that have run
 * and grants that are not yet confirmed.
 *
 * Every replica receives all reports, so that a new leader knows the grants of the previous one; only the leader answers.
 */
import { allowanceOf, isBeyondLimit } from './grant-rule.js';
import { committedOf, CommitmentTotals, unconfirmed, type Commitment } from './commitments.js';
import { GroupCeilings, type CeilingLog, type LeaderTerms } from './group-ceilings.js';
import {
  QUOTA_LEASE_MS,
  type GroupGrant,
  type QuotaGrants,
  type QuotaReport,
} from './quota-messages.js';

/** Options of {@link QuotaLedger}. */
export interface QuotaLedgerOptions {
  /** Length of the quota window, in milliseconds. */
  readonly windowMs: number;
  /** Requests of a group that may be granted per window; undefined if the group has no limit. */
  readonly limitOf: (group: string) => number | undefined;
  /** The replicated record of how much of each limit may be committed. */
  readonly ceilingLog: CeilingLog;
}

interface IngressEntry {
  /** Start time of the process, in milliseconds since 1970, by its own clock. */
  readonly startedAt: number;
  /** Sequence number of the newest report. */
  readonly sequence: number;
  /** Monotonic milliseconds. */
  readonly lastReportAt: number;
  /** Whether the ingress started without any grant and not before this replica: its former grants are void. */
  readonly isFresh: boolean;
  readonly commitments: Map<string, Commitment>;
}

/** Requests of a group that a process which has ended or restarted may have run. */
interface PastUse {
  readonly group: string;
  /** Requests per window. */
  readonly amount: number;
  /** Whether the process was fresh: its requests come out of the same part of the limit as those of its successor. */
  readonly isFresh: boolean;
  /** When the last of these requests leaves the window, in monotonic milliseconds. */
  readonly until: number;
}

/** Maximum difference between the start times of processes that start after the same power loss, in milliseconds. */
const MAX_START_SKEW_MS = 2_000;

/** The commitments of all ingresses, as known to one replica. */
export class QuotaLedger {
  private readonly ingresses = new Map<string, IngressEntry>();
  private readonly totals = new CommitmentTotals();
  private readonly ceilings: GroupCeilings;
  private pastUses: PastUse[] = [];
  /** Begin of the leadership since which every ingress is known to have reported. */
  private heardAllSince: number | undefined;

  /** @param startedAt when this replica began to record grants, in monotonic milliseconds */
  constructor(
    private readonly options: QuotaLedgerOptions,
    private readonly startedAt: number,
  ) {
    this.ceilings = new GroupCeilings(options.windowMs, options.ceilingLog);
  }

  /**
   * Processes a report of an ingress. A replica that is not the leader computes the same grants, so that it knows
   * approximately what the ingress holds if it becomes the leader.
   * @param terms undefined if this replica does not lead
   * @returns the grants to answer with; undefined if a newer report was already processed
   */
  onReport(
    id: string,
    report: QuotaReport,
    terms: LeaderTerms | undefined,
    now: number,
  ): QuotaGrants | undefined {
    this.expire(now);
    const isComplete = now - this.startedAt >= QUOTA_LEASE_MS + this.options.windowMs;
    this.ceilings.onLeadership(terms, isComplete, now);
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
    const grants = this.grant(entry, now);
    this.ceilings.review(now);
    return { sequence, grants };
  }

  /** Replaces the previous commitments by the reported ones, and keeps grants that are not yet confirmed. */
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

  /** Keeps a grant that is in flight to an ingress whose report does not contain the group. */
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
    const hasSilentIngress = this.hasSilentIngress();
    for (const [group, commitment] of entry.commitments) {
      const limit = this.options.limitOf(group);
      if (limit === undefined) continue;
      const totals = this.totals.of(group);
      const allowance = allowanceOf({
        commitment,
        totals,
        limit,
        ceiling: limit * this.ceilings.onDemand(group, totals, limit, now),
        inherited: limit * this.ceilings.inheritedOf(group),
        windowMs: this.options.windowMs,
        knownForMs: now - this.startedAt,
        hasSilentIngress,
        isFresh: entry.isFresh,
        freshPart: () => this.freshPart(),
      });
      const isLimited = isBeyondLimit(totals, { limit, windowMs: this.options.windowMs });
      grants.push(isLimited ? { group, allowance, isLimited } : { group, allowance });
      this.onGranted(entry, commitment, allowance);
      this.ceilings.onCommitted(group, totals, limit, now);
    }
    return grants;
  }

  private onGranted(entry: IngressEntry, commitment: Commitment, allowance: number): void {
    const before = committedOf(commitment);
    commitment.granted = Math.max(commitment.granted, allowance);
    commitment.grantSequence = entry.sequence;
    this.totals.commit(commitment.use.group, committedOf(commitment) - before, entry.isFresh);
  }

  /**
   * Whether some ingress has not reported since this replica began to lead, or ended shortly before. Its last grants are not
   * known here.
   */
  private hasSilentIngress(): boolean {
    const since = this.ceilings.leadingSince;
    if (since === undefined || since === this.heardAllSince) return false;
    const { windowMs } = this.options;
    if (this.pastUses.some(({ until }) => until - windowMs < since)) return true;
    for (const { lastReportAt } of this.ingresses.values()) {
      if (lastReportAt < since) return true;
    }
    this.heardAllSince = since;
    return false;
  }

  /** Fraction of ingresses that started without any grant. */
  private freshPart(): number {
    let fresh = 0;
    for (const { isFresh } of this.ingresses.values()) if (isFresh) fresh += 1;
    return fresh / this.ingresses.size;
  }

  private hasStartedEmpty({ uptimeMs, uses }: QuotaReport, now: number): boolean {
    const isYounger = uptimeMs <= now - this.startedAt + MAX_START_SKEW_MS;
    return isYounger && uses.every(({ held }) => held === 0);
  }

  /** Removes the entry of a process that has ended; requests it may have run count for one more window. */
  private retire(id: string, entry: IngressEntry, now: number): void {
    const { isFresh } = entry;
    for (const [group, commitment] of entry.commitments) {
      const amount = committedOf(commitment);
      this.pastUses.push({ group, amount, isFresh, until: now + this.options.windowMs });
      this.totals.commit(group, amount, isFresh);
    }
    this.remove(id, entry);
  }

  private remove(id: string, entry: IngressEntry): void {
    this.ingresses.delete(id);
    for (const commitment of entry.commitments.values()) {
      this.totals.remove(commitment, entry.isFresh);
    }
  }

  /** Evicts past uses that have left the window, and ingresses whose grants have expired at least one window ago. */
  private expire(now: number): void {
    const { windowMs } = this.options;
    for (const { group, amount, isFresh, until } of this.pastUses) {
      if (until <= now) this.totals.commit(group, -amount, isFresh);
    }
    this.pastUses = this.pastUses.filter(({ until }) => until > now);
    for (const [id, entry] of this.ingresses) {
      if (now - entry.lastReportAt >= QUOTA_LEASE_MS + windowMs) this.remove(id, entry);
    }
  }
}

const NO_COMMITMENTS: ReadonlyMap<string, Commitment> = new Map();

/** Whether the entry already holds this report or a newer one of the same process. */
function isOlder({ startedAt, sequence }: QuotaReport, entry: IngressEntry): boolean {
  return startedAt === entry.startedAt && sequence <= entry.sequence;
}
