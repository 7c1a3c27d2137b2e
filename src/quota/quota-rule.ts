/**
 * Computes how many requests of a group may run in a window over all ingresses: the bound that must hold, and the smaller
 * number that control grants.
 */
import { MS_PER_SECOND } from '../common/units.js';
import type { GroupRate } from '../policy/group-table.js';

/** Defines the bound for every group with a rate. */
export interface QuotaRule {
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Fraction by which a group may exceed its rate and burst in a window. */
  readonly tolerance: number;
  /** Number of requests by which a group may exceed this in addition. */
  readonly slack: number;
}

/** The rule of a deployment that does not declare its own. */
export const DEFAULT_QUOTA_RULE: QuotaRule = { windowMs: 5_000, tolerance: 0.1, slack: 20 };

/**
 * Fraction of the tolerance and the slack that is granted. The rest covers what ingresses and control cannot observe:
 * requests that wait at gates after they were counted, and grants of a failed leader.
 */
const ALLOCATED_FRACTION = 0.7;

/** Maximum number of requests of a group that may run in any window. */
export function boundInWindow({ perSecond, burst }: GroupRate, rule: QuotaRule): number {
  const declared = (perSecond * rule.windowMs) / MS_PER_SECOND + burst;
  return declared * (1 + rule.tolerance) + rule.slack;
}

/** Requests of a group per window that control grants to all ingresses together. */
export function grantableInWindow(rate: GroupRate, rule: QuotaRule): number {
  const { windowMs, tolerance, slack } = rule;
  return boundInWindow(rate, {
    windowMs,
    tolerance: tolerance * ALLOCATED_FRACTION,
    slack: slack * ALLOCATED_FRACTION,
  });
}
