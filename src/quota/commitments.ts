/**
 * What ingresses may let run of each group, and the sums over all of them.
 *
 * {@link CommitmentTotals} owns the sums; {@link QuotaLedger}, which owns the commitments, tells it of each change. Pure.
 */
import type { GroupUse } from './quota-messages.js';

/** One group at one ingress. All amounts are requests in a window. */
export interface Commitment {
  /** What the ingress has reported last. */
  readonly use: GroupUse;
  /** Largest grant that the ingress has not confirmed. */
  granted: number;
  /** Number of the report that this grant answers. */
  grantSequence: number;
}

/** Sums over all ingresses, for one group, in requests in a window. */
export interface GroupTotals {
  readonly committed: number;
  /** Of ingresses that began empty. */
  readonly committedToFresh: number;
  readonly offered: number;
}

/** Most that the ingress may have run in a window. */
export function committedOf({ use, granted }: Commitment): number {
  return Math.max(use.held, use.used, granted);
}

/** What remains under way of a grant once the ingress has adopted the answers up to the report `adopted`. */
export function unconfirmed(
  commitment: Commitment | undefined,
  adopted: number,
): Pick<Commitment, 'granted' | 'grantSequence'> {
  const { granted = 0, grantSequence = 0 } = commitment ?? {};
  return grantSequence <= adopted ? { granted: 0, grantSequence: 0 } : { granted, grantSequence };
}

export class CommitmentTotals {
  private readonly totals = new Map<string, { -readonly [Sum in keyof GroupTotals]: number }>();

  of(group: string): GroupTotals {
    return this.sums(group);
  }

  /** @param isFresh whether the ingress began empty */
  add(commitment: Commitment, isFresh: boolean): void {
    const { group, offered } = commitment.use;
    this.commit(group, committedOf(commitment), isFresh);
    this.sums(group).offered += offered;
  }

  remove(commitment: Commitment, isFresh: boolean): void {
    const { group, offered } = commitment.use;
    this.commit(group, -committedOf(commitment), isFresh);
    this.sums(group).offered -= offered;
  }

  /** That many requests more are committed, or fewer. */
  commit(group: string, requests: number, isFresh: boolean): void {
    const sums = this.sums(group);
    sums.committed += requests;
    if (isFresh) sums.committedToFresh += requests;
  }

  private sums(group: string): { -readonly [Sum in keyof GroupTotals]: number } {
    const sums = this.totals.get(group) ?? { committed: 0, committedToFresh: 0, offered: 0 };
    this.totals.set(group, sums);
    return sums;
  }
}
