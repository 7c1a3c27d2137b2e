/**
 * Order in which waiting calls are admitted; they are refused in reverse order.
 * docs/design/admission.md compares the orders.
 */
import type { Importance } from '../policy/importance.js';

/** The waiting calls of one share class, group rank and importance. */
export interface SharingCandidate {
  readonly importance: Importance;
  /** Rank of the callers' groups, 0 the most urgent; takes precedence over the importance. */
  readonly groupRank: number;
  /** Usage of the class relative to its share; less than 1 means within its share. */
  readonly shareUse: number;
}

/** Compares two candidates; negative if `first` is admitted before `second`. */
export type SharingOrder = (first: SharingCandidate, second: SharingCandidate) => number;

function byImportance(first: SharingCandidate, second: SharingCandidate): number {
  return first.groupRank - second.groupRank || second.importance - first.importance;
}

function byShareUse(first: SharingCandidate, second: SharingCandidate): number {
  return first.shareUse - second.shareUse;
}

function isWithinShare(candidate: SharingCandidate): boolean {
  return candidate.shareUse < 1;
}

/** Classes within their share first; the remaining capacity goes by importance, then by usage of the share. */
const shareFirst: SharingOrder = (first, second) => {
  const firstWithin = isWithinShare(first);
  const secondWithin = isWithinShare(second);
  if (firstWithin !== secondWithin) return firstWithin ? -1 : 1;
  return byImportance(first, second) || byShareUse(first, second);
};

/** By importance, then by usage of the share. A flood of important calls can starve other share classes. */
const importanceFirst: SharingOrder = (first, second) =>
  byImportance(first, second) || byShareUse(first, second);

/** All sharing orders by name. */
export const SHARING_ORDERS = {
  'share-first': shareFirst,
  'importance-first': importanceFirst,
} as const;
