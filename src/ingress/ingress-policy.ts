/** What an ingress decides about a request once it knows its route. Pure. */
import type { Group } from '../policy/group-table.js';
import type { Route } from '../policy/route-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import { contextName, type CallContext } from '../call/call-context.js';
import type { OutboundRequest, OutboundResult } from '../outbound/outbound-request.js';

/** Group of requests without a key. */
const DEFAULT_GROUP = 'default';
/** Part of its objective that a request may wait to be let in: refused then, it can be sent again. */
const WAIT_FRACTION = 0.25;
/** An answer that takes this multiple of the usual time is taken for lost. */
const HEDGE_DELAY_FACTOR = 6;
/** Targets that are tried after one has refused for overload. */
const OVERLOAD_REROUTES = 1;

/** Part of its objective that a request may wait for a permit in the quota of its group. */
const QUOTA_WAIT_PART = 0.1;
/** What a request brings besides its route. */
export interface IngressArrival {
  readonly requestId: string;
  readonly service: string;
  /** Milliseconds that the client will wait; undefined where it does not say. */
  readonly clientTimeoutMs: number | undefined;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** How likely a repeated run has made the request, 0 to 1; 0 for those of clients. */
  readonly inheritedShare: number;
  /** The group whose key the client presented; absent where none is needed. */
  readonly group?: Group | undefined;
}

/** The context of a request of `route`. */
export function ingressContext(route: Route, arrival: IngressArrival): CallContext {
  const { requestId, service, arrivedAt, inheritedShare } = arrival;
  const clientTimeoutMs = arrival.clientTimeoutMs ?? route.timeoutMs;
  return {
    requestId,
    group: arrival.group?.name ?? DEFAULT_GROUP,
    groupRank: arrival.group?.rank ?? 0,
    kind: contextName(route.name),
    importance: route.importance,
    deadlineAt: arrivedAt + Math.min(clientTimeoutMs, route.timeoutMs),
    retries: route.maxTargets - 1,
    service,
    waitUntil: arrivedAt + route.objectiveMs * WAIT_FRACTION,
    objectiveMs: route.objectiveMs,
    inheritedShare,
  };
}

/**
 * How a request is sent.
 * @param isNested whether targets make the calls of the route, as gates have said
 */
export function ingressRequest(
  route: Route,
  context: CallContext,
  isNested: boolean,
): OutboundRequest {
  return {
    trafficClass: `${route.name}/${context.service}`,
    repeatable: route.repeatable,
    deadlineAt: context.deadlineAt,
    // Gates bound the repeats of their service.
    retryRatio: 0,
    allowance: new RetryAllowance(context.retries),
    overloadReroutes: OVERLOAD_REROUTES,
    // A call of the target is not refused early: what its caller has done would be lost.
    throttled: !isNested,
    hedgeDelayFactor: HEDGE_DELAY_FACTOR,
  };
}

/**
 * Longest time in milliseconds that a request waits for control to grant its group more: an answer of control takes some
 * milliseconds, and a request that is refused after it can still come again within its objective.
 */
export function quotaWaitMs({ objectiveMs }: Route): number {
  return objectiveMs * QUOTA_WAIT_PART;
}

/** How congested a call that the target of this machine made was below, 0 to 1. */
export function congestionOf(result: Exclude<OutboundResult, { type: 'broken' }>): number {
  const isLost =
    result.type === 'refused' && (result.overloaded || result.refusal.reason === 'deadline');
  return isLost ? 1 : result.congestion;
}
