/**
 * Decides on the leader how much of its limit each group may have committed, and when the replicated record of these ceilings
 * is written. Answers the load after a loss of all power: every ingress asks for grants anew while requests of the last
 * window still count, and the next leader knows from the record that they are at most the ceiling.
 *
 * Commitments never exceed the recorded ceiling:
 * - A raise takes effect once it is applied; a reduction before it is proposed.
 * - A ceiling is reduced only when all commitments of this leader and its predecessors have kept it for
 *   {@link reductionDelayMs}, longer than any grant and the requests under it count.
 * - A leader without a record of its own term may commit whole limits. Its successor knows by the terms of the log that the
 *   record is not the last leader's.
 */
import type { GroupTotals } from './commitments.js';
import {
  BASE_CEILING,
  CEILING_LEVELS,
  RecordedCeilings,
  type CeilingRecord,
  type GroupCeiling,
} from './ceiling-record.js';
import { LevelHistory } from './level-history.js';
import { QUOTA_LEASE_MS } from './quota-messages.js';

/** The terms of a leader that a majority has confirmed, and that has applied everything of earlier terms. */
export interface LeaderTerms {
  readonly term: number;
  /** Term of the last earlier leader that appended to the log. */
  readonly previousTerm: number;
}

/** Access to the replicated record. */
export interface CeilingLog {
  /** The record as applied here; undefined if there is none. */
  record(): CeilingRecord | undefined;
  /** Replaces the record. `onOutcome` receives false when it may or may not be replaced later. */
  propose(record: CeilingRecord, onOutcome: (isApplied: boolean) => void): void;
}

/**
 * Maximum time in milliseconds since a majority last confirmed a leader that grants. Without recent confirmation another
 * leader may have been elected, and both would grant.
 */
export const CONFIRMED_WITHIN_MS = 1_000;
/** Fraction of a ceiling that the demand of a group may reach before the group gets a higher one. */
const MAX_DEMAND_RATIO = 0.85;
/** Requests per window that each active ingress needs in addition to those offered, to serve a rise at once. */
const SPARE_PER_INGRESS = 1;
/** Interval between reviews of ceilings that could be reduced, in milliseconds; bounds the rate of such commands. */
const REVIEW_INTERVAL_MS = 2_000;
/** Minimum interval between two records, in milliseconds: groups that need a raise meanwhile share one command. */
const MIN_RECORD_INTERVAL_MS = 20;
/** Minimum interval after a record that was not applied, in milliseconds. */
const RETRY_INTERVAL_MS = 500;

const WHOLE_LIMITS = new RecordedCeilings(undefined);

interface GroupDemand {
  /** Demand, relative to {@link MAX_DEMAND_RATIO} of the limit. */
  readonly needed: LevelHistory;
  /** Commitments, relative to the limit. */
  readonly committed: LevelHistory;
}

interface ActiveLeadership {
  readonly term: number;
  /** When this replica first acted as leader of the term, in monotonic milliseconds. */
  readonly since: number;
  /** Ceilings that bind all grants of earlier leaders. */
  readonly inherited: RecordedCeilings;
  /** Whether the commitments of earlier leaders are known here, so that their ceilings can be taken over. */
  readonly isCarriedOver: boolean;
}

/** The ceilings of all groups, as known to one replica. */
export class GroupCeilings {
  private readonly groups = new Map<string, GroupDemand>();
  private leadership: ActiveLeadership | undefined;
  private applied = WHOLE_LIMITS;
  /** Proposals that may still take effect; the ceiling is the lowest of all. */
  private unresolved: RecordedCeilings[] = [];
  private isProposing = false;
  private nextProposalAt = -Infinity;
  private nextReviewAt = -Infinity;
  /** Groups that need a higher ceiling. */
  private readonly raises = new Set<string>();

  /** @param windowMs length of the quota window, in milliseconds */
  constructor(
    private readonly windowMs: number,
    private readonly log: CeilingLog,
  ) {}

  /** When this replica began to lead, in monotonic milliseconds; undefined if it does not. */
  get leadingSince(): number | undefined {
    return this.leadership?.since;
  }

  /**
   * Called before each report is processed.
   * @param terms undefined if this replica does not lead
   * @param isLedgerComplete whether all grants that may be valid are known here
   */
  onLeadership(terms: LeaderTerms | undefined, isLedgerComplete: boolean, now: number): void {
    const record = this.log.record();
    if (record !== this.applied.record) this.applied = new RecordedCeilings(record);
    if (terms?.term === this.leadership?.term) return;
    this.unresolved = [];
    this.isProposing = false;
    this.nextProposalAt = now;
    this.leadership = terms && this.lead(terms, isLedgerComplete, now);
  }

  /**
   * Fraction of its limit that earlier leaders may have committed for a group.
   * @returns the whole limit on a replica that does not lead
   */
  inheritedOf(group: string): number {
    return this.leadership?.inherited.of(group) ?? 1;
  }

  /** Records the demand for a group, and returns the fraction of its limit that may be committed now. */
  onDemand(group: string, { offered, active }: GroupTotals, limit: number, now: number): number {
    const demand = this.groups.get(group) ?? createDemand();
    this.groups.set(group, demand);
    const needed = offered + SPARE_PER_INGRESS * active;
    demand.needed.record(needed / (MAX_DEMAND_RATIO * limit), now);
    const target = this.targetOf(demand, now);
    const ceiling = this.ceilingOf(group);
    if (target > ceiling) this.raises.add(group);
    else this.raises.delete(group);
    return Math.min(target, ceiling);
  }

  /** Records the commitments for a group after they may have grown. */
  onCommitted(group: string, { committed }: GroupTotals, limit: number, now: number): void {
    this.groups.get(group)?.committed.record(committed / limit, now);
  }

  /** Proposes a new record if one is due. Called after each report. */
  review(now: number): void {
    const { leadership } = this;
    if (leadership === undefined || this.isProposing || now < this.nextProposalAt) return;
    const isFirst = this.applied.record?.term !== leadership.term;
    const mayReduce = now - leadership.since >= this.reductionDelayMs;
    if (isFirst && !mayReduce && !leadership.isCarriedOver) return;
    const isReviewDue = mayReduce && now >= this.nextReviewAt;
    if (!isFirst && !isReviewDue && this.raises.size === 0) return;
    if (isReviewDue) this.nextReviewAt = now + REVIEW_INTERVAL_MS;
    const raised = this.nextCeilings(mayReduce, now);
    this.raises.clear();
    if (isFirst || this.differs(raised)) this.propose({ term: leadership.term, raised }, now);
  }

  /** Time in milliseconds for which grants of a deposed leader, and the requests under them, may count. */
  private get reductionDelayMs(): number {
    return CONFIRMED_WITHIN_MS + QUOTA_LEASE_MS + this.windowMs;
  }

  private lead(
    { term, previousTerm }: LeaderTerms,
    isComplete: boolean,
    now: number,
  ): ActiveLeadership {
    const { applied } = this;
    const isLastLeaders = applied.record?.term === previousTerm;
    const inherited = isLastLeaders ? applied : WHOLE_LIMITS;
    return { term, since: now, inherited, isCarriedOver: isComplete && isLastLeaders };
  }

  /** The ceiling that binds now. */
  private ceilingOf(group: string): number {
    const proposed = this.unresolved.map((ceilings) => ceilings.of(group));
    return Math.min(this.currentCeilings().of(group), ...proposed);
  }

  private currentCeilings(): RecordedCeilings {
    const { leadership, applied } = this;
    if (leadership === undefined || applied.record?.term === leadership.term) return applied;
    return leadership.isCarriedOver ? leadership.inherited : WHOLE_LIMITS;
  }

  /** The lowest ceiling that has met the demand of the last window. */
  private targetOf({ needed }: GroupDemand, now: number): number {
    return needed.lowestKept(this.windowMs, now);
  }

  private nextCeilings(mayReduce: boolean, now: number): GroupCeiling[] {
    const recorded = this.currentCeilings().record?.raised ?? [];
    const names = new Set([...this.groups.keys(), ...recorded.map(({ group }) => group)]);
    return [...names]
      .map((group) => ({ group, ceiling: this.nextCeiling(group, mayReduce, now) }))
      .filter(({ ceiling }) => ceiling > BASE_CEILING);
  }

  private nextCeiling(group: string, mayReduce: boolean, now: number): number {
    const demand = this.groups.get(group);
    const current = this.ceilingOf(group);
    const target = demand === undefined ? BASE_CEILING : this.targetOf(demand, now);
    if (target >= current) return target;
    const kept = demand?.committed.lowestKept(this.reductionDelayMs, now) ?? BASE_CEILING;
    return mayReduce ? Math.min(current, Math.max(target, kept)) : current;
  }

  private differs(raised: readonly GroupCeiling[]): boolean {
    const { applied } = this;
    if (raised.length !== applied.record?.raised.length) return true;
    return raised.some(({ group, ceiling }) => applied.of(group) !== ceiling);
  }

  private propose(record: CeilingRecord, now: number): void {
    this.isProposing = true;
    this.unresolved.push(new RecordedCeilings(record));
    this.log.propose(record, (isApplied) => {
      if (this.leadership?.term !== record.term) return;
      this.isProposing = false;
      this.nextProposalAt = now + (isApplied ? MIN_RECORD_INTERVAL_MS : RETRY_INTERVAL_MS);
      // All earlier proposals stand before this one in the log.
      if (isApplied) this.unresolved = [];
    });
  }
}

function createDemand(): GroupDemand {
  return { needed: new LevelHistory(CEILING_LEVELS), committed: new LevelHistory(CEILING_LEVELS) };
}
