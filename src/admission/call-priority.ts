/**
 * Order in which calls use what a rate limit leaves: calls that targets make come first, since refusing one loses the work of
 * its caller; then the rank of the caller's group, then the importance of the kind.
 */
import { HIGHEST_IMPORTANCE, IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';

/** A whole number; calls with a lower one come first. */
export type CallPriority = number;

/** The properties of a call that its priority depends on. */
export interface PrioritizedCall {
  /** Whether a target makes the call. */
  readonly isNested: boolean;
  /** Rank of the caller's group, 0 the most urgent. Default 0. */
  readonly groupRank?: number | undefined;
  readonly importance: Importance;
}

const NESTED_PRIORITY: CallPriority = 0;

export function callPriority({
  isNested,
  groupRank = 0,
  importance,
}: PrioritizedCall): CallPriority {
  if (isNested) return NESTED_PRIORITY;
  return 1 + groupRank * IMPORTANCE_COUNT + (HIGHEST_IMPORTANCE - importance);
}
