/**
 * How many requests of a group may run in a window of time, over the whole fleet. For control, which hands them out, and for
 * the simulator, which holds the bound against them. Owns nothing; pure.
 */
import { MS_PER_SECOND } from '../common/units.js';
import type { GroupRate } from '../policy/group-table.js';

/** The bound that has to hold for every group with a rate. */
export interface QuotaRule {
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Part by which a group may run over what its rate and burst give in a window. */
  readonly tolerance: number;
  /** Requests by which it may run over besides. */
  readonly slack: number;
}

/** What holds where a deployment declares no rule of its own. */
export const DEFAULT_QUOTA_RULE: QuotaRule = { windowMs: 5_000, tolerance: 0.1, slack: 20 };

/**
 * Part of the tolerance and of the slack that is handed out. The rest is for what machines do not know of one another:
 * requests that wait at gates after they were counted, and grants of a leader that was lost. With 0.7 the worst window of
 * docs/design/shifted-work.md had 0.97 of the bound, 1 at most in 60 seeds.
 */
const ALLOCATED_FRACTION = 0.7;

/** Most requests that may run in any window. */
export function boundInWindow({ perSecond, burst }: GroupRate, rule: QuotaRule): number {
  const declared = (perSecond * rule.windowMs) / MS_PER_SECOND + burst;
  return declared * (1 + rule.tolerance) + rule.slack;
}

/** Requests in a window that are handed out to machines. */
export function handedOutInWindow(rate: GroupRate, rule: QuotaRule): number {
  const { windowMs, tolerance, slack } = rule;
  return boundInWindow(rate, {
    windowMs,
    tolerance: tolerance * ALLOCATED_FRACTION,
    slack: slack * ALLOCATED_FRACTION,
  });
}
