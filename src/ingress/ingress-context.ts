/**
 * Derives the limits of a request (deadline, longest wait at a gate, retries) and the options of its outgoing call from its
 * route. Pure. Used by the ingress of a sidecar and by the simulated one.
 */
import { callPriority } from '../admission/call-priority.js';
import type { Group } from '../policy/group-table.js';
import type { Route } from '../policy/route-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import { headerSafeName, type CallContext } from '../call/call-context.js';
import type { OutboundRequest } from '../outbound/outbound-request.js';

/** Group of requests that need no key. */
const DEFAULT_GROUP = 'default';
/**
 * Fraction of its objective that a request may wait at a gate. With a longer wait a refused request could not be retried
 * within its objective; with a shorter one more requests are refused in a burst.
 */
const GATE_WAIT_FRACTION = 0.25;
/**
 * A hedged request is sent after this multiple of the usual latency of the traffic class. A smaller factor repeats requests
 * that are merely slow; a larger one detects lost answers too late.
 */
const HEDGE_DELAY_FACTOR = 6;
/**
 * Other targets that are tried after one has refused for overload. Each costs the caller the time of a refusal, and helps
 * only if the targets differ in load.
 */
const MAX_OVERLOAD_REROUTES = 1;

/** Properties of a request besides its route. */
export interface IngressArrival {
  readonly requestId: string;
  readonly service: string;
  /** Timeout of the client in milliseconds; undefined if the request has none. */
  readonly clientTimeoutMs: number | undefined;
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Probability that a repeated run made the request, 0 to 1; 0 for requests of clients. */
  readonly inheritedShare: number;
  /** Time that the client spent on earlier attempts, in milliseconds. Default: 0. */
  readonly clientWaitedMs?: number;
  /** Group of the API key; absent if the route needs none. */
  readonly group?: Group | undefined;
}

/** Creates the call context of a request of `route`. */
export function createIngressContext(route: Route, arrival: IngressArrival): CallContext {
  const { requestId, service, arrivedAt, inheritedShare } = arrival;
  const clientTimeoutMs = arrival.clientTimeoutMs ?? route.timeoutMs;
  return {
    requestId,
    group: arrival.group?.name ?? DEFAULT_GROUP,
    groupRank: arrival.group?.rank ?? 0,
    // Gates identify calls by their kind; in a sidecar that is the route.
    kind: headerSafeName(route.name),
    importance: route.importance,
    deadlineAt: arrivedAt + Math.min(clientTimeoutMs, route.timeoutMs),
    retries: route.maxTargets - 1,
    service,
    waitUntil: arrivedAt + route.objectiveMs * GATE_WAIT_FRACTION,
    objectiveMs: route.objectiveMs,
    inheritedShare,
    clientWaitedMs: arrival.clientWaitedMs ?? 0,
  };
}

/**
 * Creates the options of the outgoing call.
 * @param isNested whether targets make the calls of the route, as reported by gates
 */
export function createOutboundRequest(
  route: Route,
  context: CallContext,
  isNested: boolean,
): OutboundRequest {
  return {
    trafficClass: `${route.name}/${context.service}`,
    priority: callPriority({ ...context, isNested }),
    repeatable: route.repeatable,
    deadlineAt: context.deadlineAt,
    // The gates limit the repeats at their service; the caller needs no retry budget.
    retryRatio: 0,
    allowance: new RetryAllowance(context.retries),
    overloadReroutes: MAX_OVERLOAD_REROUTES,
    // A nested call is not refused early: the work that its caller has done would be lost.
    throttled: !isNested,
    hedgeDelayFactor: HEDGE_DELAY_FACTOR,
  };
}
