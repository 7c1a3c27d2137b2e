/** The priority of a call under a rate limit, by the order of `policy/scarcity-order.ts`. */
import { nestedFirstLevel, type Claimant, type ClaimLevel } from '../policy/scarcity-order.js';

/** A whole number; calls with a lower one come first. */
export type CallPriority = ClaimLevel;

/** The properties of a call that its priority depends on. */
export interface PrioritizedCall extends Claimant {
  /** Whether a target makes the call. */
  readonly isNested: boolean;
}

export function callPriority({ isNested, ...claimant }: PrioritizedCall): CallPriority {
  return nestedFirstLevel(isNested, claimant);
}
