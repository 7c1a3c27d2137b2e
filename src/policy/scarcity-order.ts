/**
 * The order in which claimants get what is scarce: slots of a target, calls under a rate limit, permits of a group, repeats at
 * a service. First calls that targets make, where a refusal would lose the work of the caller; then the rank of the group;
 * then the importance of the kind; then the usage of the share. Pure; every rule that prefers one claimant to another asks here.
 */
import { HIGHEST_IMPORTANCE, IMPORTANCE_COUNT, type Importance } from './importance.js';

/** A whole number that combines group rank and importance; claimants with a lower one come first. */
export type ClaimLevel = number;

/** Level of the most important kinds of the first group rank. */
export const MOST_URGENT_LEVEL: ClaimLevel = 0;

/** The properties of a claimant that its level depends on. */
export interface Claimant {
  /** Rank of the caller's group, 0 the most urgent; takes precedence over the importance. Default 0. */
  readonly groupRank?: number | undefined;
  readonly importance: Importance;
}

/** A claimant that is entitled to a share. */
export interface SharingClaimant extends Claimant {
  /** Usage relative to the share; less than 1 means within the share. */
  readonly shareUse: number;
}

/** The level of a claimant among those whose refusal loses equally much work. */
export function claimLevel({ groupRank = 0, importance }: Claimant): ClaimLevel {
  return groupRank * IMPORTANCE_COUNT + (HIGHEST_IMPORTANCE - importance);
}

/**
 * The level of a call where calls that targets make come before all others.
 * @param isNested whether a target makes the call
 */
export function nestedFirstLevel(isNested: boolean, claimant: Claimant): ClaimLevel {
  return isNested ? MOST_URGENT_LEVEL : 1 + claimLevel(claimant);
}

/** Compares by level, then by usage of the share; negative if `first` comes before `second`. */
export function compareClaimants(first: SharingClaimant, second: SharingClaimant): number {
  return claimLevel(first) - claimLevel(second) || first.shareUse - second.shareUse;
}
