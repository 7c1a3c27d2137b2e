/**
 * The commitments of control to ingresses: how many requests of a group each ingress may run in a window, and the totals
 * over all ingresses.
 */
import type { GroupUse } from './quota-messages.js';

/** The commitment for one group at one ingress. All amounts are requests per window. */
export interface Commitment {
  /** The latest report of the ingress. */
  readonly use: GroupUse;
  /** Largest grant that the ingress has not yet confirmed; 0 if there is none. */
  granted: number;
  /** Sequence number of the report that this grant answers. */
  grantSequence: number;
}

/** Totals over all ingresses for one group, in requests per window. */
export interface GroupTotals {
  readonly committed: number;
  /** The part of `committed` that belongs to ingresses which started without any grant. */
  readonly committedToFresh: number;
  readonly offered: number;
  /** What is offered if the demand of the last second lasts. */
  readonly projected: number;
  /** Number of ingresses with offered requests. */
  readonly active: number;
}

/** Upper bound on the requests that the ingress may run in a window. */
export function committedOf({ use, granted }: Commitment): number {
  return Math.max(use.held, use.used, granted);
}

/**
 * Returns the part of a commitment that is still in flight to the ingress.
 * @param adopted sequence number of the newest report whose answer the ingress has applied
 */
export function unconfirmed(
  commitment: Commitment | undefined,
  adopted: number,
): Pick<Commitment, 'granted' | 'grantSequence'> {
  const { granted = 0, grantSequence = 0 } = commitment ?? {};
  return grantSequence <= adopted ? { granted: 0, grantSequence: 0 } : { granted, grantSequence };
}

/** Maintains {@link GroupTotals} incrementally as commitments are added and removed. */
export class CommitmentTotals {
  private readonly totals = new Map<string, { -readonly [Sum in keyof GroupTotals]: number }>();

  of(group: string): GroupTotals {
    return this.sums(group);
  }

  /** @param isFresh whether the ingress started without any grant */
  add(commitment: Commitment, isFresh: boolean): void {
    const { group, offered, projected = offered } = commitment.use;
    this.commit(group, committedOf(commitment), isFresh);
    this.countDemand(group, { offered, projected }, 1);
  }

  remove(commitment: Commitment, isFresh: boolean): void {
    const { group, offered, projected = offered } = commitment.use;
    this.commit(group, -committedOf(commitment), isFresh);
    this.countDemand(group, { offered, projected }, -1);
  }

  /** Adds to the committed requests of a group; a negative amount subtracts. */
  commit(group: string, requests: number, isFresh: boolean): void {
    const sums = this.sums(group);
    sums.committed += requests;
    if (isFresh) sums.committedToFresh += requests;
  }

  private countDemand(
    group: string,
    { offered, projected }: Required<Pick<GroupUse, 'offered' | 'projected'>>,
    sign: 1 | -1,
  ): void {
    const sums = this.sums(group);
    sums.offered += sign * offered;
    sums.projected += sign * projected;
    if (offered > 0) sums.active += sign;
  }

  private sums(group: string): { -readonly [Sum in keyof GroupTotals]: number } {
    const sums = this.totals.get(group) ?? {
      committed: 0,
      committedToFresh: 0,
      offered: 0,
      projected: 0,
      active: 0,
    };
    this.totals.set(group, sums);
    return sums;
  }
}
