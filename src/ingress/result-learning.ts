/**
 * What an ingress learns from the result of a request, for the decisions on later ones: who makes the calls of the route,
 * and, where the target of this machine made the call, how congested the services below it are and whether they still take
 * repeats. The ingress of a sidecar and the simulated one share it.
 *
 * Owns nothing; relies on the gate's outcome, which the result carries. Pure but for the parts that it tells.
 */
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { NestedRoutes } from '../routing/nested-routes.js';

/** Who learns. */
export interface ResultObservers {
  /** Routes whose calls are made by targets, as gates have said. */
  readonly nestedRoutes: NestedRoutes;
  /** Learns of calls of the target that are held up or refused. */
  readonly downstream: CongestionLevel;
  /** Learns when a service that the target calls grants no repeats. */
  readonly retryBudget: ServiceRetryBudget;
}

/**
 * Tells the learners of a result. A broken answer tells nothing.
 * @returns whether it is now held otherwise than before who makes the calls of the route
 */
export function learnFromResult(
  { nestedRoutes, downstream, retryBudget }: ResultObservers,
  route: string,
  result: OutboundResult,
): boolean {
  if (result.type === 'broken') return false;
  const hasChanged = result.nested !== undefined && nestedRoutes.onAnswer(route, result.nested);
  if (nestedRoutes.has(route)) {
    downstream.onCall(congestionOf(result));
    retryBudget.onDownstreamCall(result.repeatRoom);
  }
  return hasChanged;
}

/** How congested a call that the target of this machine made was below, 0 to 1. */
function congestionOf(result: Exclude<OutboundResult, { type: 'broken' }>): number {
  const isLost =
    result.type === 'refused' && (result.overloaded || result.refusal.reason === 'deadline');
  return isLost ? 1 : result.congestion;
}
