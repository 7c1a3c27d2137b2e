/**
 * Evaluates the result of a request for decisions on later ones: whether targets make the calls of its route and, if so, how
 * congested the downstream services are and which repeats they accept. Used by the ingress of a sidecar and by the
 * simulated one.
 */
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { PathBottlenecks } from '../admission/path-bottlenecks.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { NestedRoutes } from '../routing/nested-routes.js';
import type { FirstHopRoom } from './first-hop-room.js';

/** Receivers of the results of requests. */
export interface ResultObservers {
  /** Routes whose calls are made by targets, as reported by gates. */
  readonly nestedRoutes: NestedRoutes;
  /** Congestion of the calls that the target makes. */
  readonly downstream: CongestionLevel;
  /** Grants no repeats while a service that the target calls accepts none. */
  readonly retryBudget: ServiceRetryBudget;
  /** Passes the bottleneck downstream on to the callers of the target; undefined if it is not told. */
  readonly bottlenecks?: PathBottlenecks | undefined;
  /** Refuses requests of clients that have no room downstream; undefined if none are refused for that. */
  readonly room?: FirstHopRoom | undefined;
}

/**
 * Records a result. Broken answers are ignored: they carry no report of a gate.
 * @returns whether the route has changed between nested and not nested
 */
export function recordResult(
  observers: ResultObservers,
  route: string,
  result: OutboundResult,
): boolean {
  const { nestedRoutes, downstream, retryBudget, bottlenecks, room } = observers;
  if (result.type === 'broken') return false;
  const hasChanged = result.nested !== undefined && nestedRoutes.onAnswer(route, result.nested);
  if (nestedRoutes.has(route)) {
    downstream.onCall(congestionOf(result));
    retryBudget.onDownstreamCall(result.repeatRoom);
    bottlenecks?.onNestedAnswer(route, result.bottleneck);
  } else if (result.nested !== undefined) room?.onAnswer(route, result.bottleneck);
  return hasChanged;
}

/** Congestion that a call of the target met, 0 to 1; 1 if it was refused for overload or missed its deadline. */
function congestionOf(result: Exclude<OutboundResult, { type: 'broken' }>): number {
  const isLost =
    result.type === 'refused' && (result.overloaded || result.refusal.reason === 'deadline');
  return isLost ? 1 : result.congestion;
}
