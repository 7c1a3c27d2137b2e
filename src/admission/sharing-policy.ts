/**
 * Order in which waiting calls are admitted; they are refused in reverse order.
 * docs/design/admission.md compares the orders.
 */
import { compareClaimants, type SharingClaimant } from '../policy/scarcity-order.js';

/** The waiting calls of one share class, group rank and importance. */
export interface SharingCandidate extends SharingClaimant {
  readonly groupRank: number;
}

/** Compares two candidates; negative if `first` is admitted before `second`. */
export type SharingOrder = (first: SharingCandidate, second: SharingCandidate) => number;

function isWithinShare(candidate: SharingCandidate): boolean {
  return candidate.shareUse < 1;
}

/** Classes within their share first; the remaining capacity goes by importance, then by usage of the share. */
const shareFirst: SharingOrder = (first, second) => {
  const firstWithin = isWithinShare(first);
  const secondWithin = isWithinShare(second);
  if (firstWithin !== secondWithin) return firstWithin ? -1 : 1;
  return compareClaimants(first, second);
};

/** By importance, then by usage of the share. A flood of important calls can starve other share classes. */
const importanceFirst: SharingOrder = compareClaimants;

/** All sharing orders by name. */
export const SHARING_ORDERS = {
  'share-first': shareFirst,
  'importance-first': importanceFirst,
} as const;
