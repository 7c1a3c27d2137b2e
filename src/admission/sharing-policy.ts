/**
 * The order in which waiting calls are let in, and the reverse order in which they are refused.
 * docs/design/admission.md weighs the orders by measurement.
 */
import type { Importance } from '../policy/importance.js';

/** The calls of one share class, rank and importance that wait at a node. */
export interface SharingCandidate {
  readonly importance: Importance;
  /** Rank of the callers' groups, 0 the most urgent; comes before the importance. */
  readonly groupRank: number;
  /** The class's use of the target relative to its share; below 1 it is within its share. */
  readonly shareUse: number;
}

/** Orders candidates: negative when `first` is to be let in before `second`. */
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

/** Share classes within their share first; capacity they leave idle goes by importance, then by share. */
const shareFirst: SharingOrder = (first, second) => {
  const firstWithin = isWithinShare(first);
  const secondWithin = isWithinShare(second);
  if (firstWithin !== secondWithin) return firstWithin ? -1 : 1;
  return byImportance(first, second) || byShareUse(first, second);
};

/** Importance alone, shares only among equals: a flood of important calls starves other share classes. */
const importanceFirst: SharingOrder = (first, second) =>
  byImportance(first, second) || byShareUse(first, second);

/** Every sharing order by name. The programs use `share-first`; the lab shows what starves without it. */
export const SHARING_ORDERS = {
  'share-first': shareFirst,
  'importance-first': importanceFirst,
} as const;
