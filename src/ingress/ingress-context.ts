/**
 * What a request may do once the ingress has let it begin: its deadline, its longest wait at a gate, its retries, and how it
 * is sent. For the ingress of a sidecar and the simulated one.
 *
 * Owns nothing; pure. Relies on the route's declared limits.
 */
import type { Group } from '../policy/group-table.js';
import type { Route } from '../policy/route-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import { headerSafeName, type CallContext } from '../call/call-context.js';
import type { OutboundRequest } from '../outbound/outbound-request.js';

/** Group of requests that need no key. */
const DEFAULT_GROUP = 'default';
/**
 * Part of its objective that a request may wait at a gate to be let in: longer, a refused one could not be sent again within
 * its objective; shorter, more are refused in a short surge.
 */
const GATE_WAIT_FRACTION = 0.25;
/**
 * An answer that takes this multiple of the traffic class's usual time is taken for lost, and a hedged request is sent: less
 * repeats slow answers, more finds a lost one too late. docs/rounds/order-mesh.md has the simulation without hedged requests,
 * in which no answer is lost.
 */
const HEDGE_DELAY_FACTOR = 6;
/**
 * Targets that are tried after one has refused for overload: each costs the caller the time of a refusal, and finds a target
 * of unlike load. Worth nothing in the simulation of docs/rounds/order-mesh.md, where all targets are alike.
 */
const MAX_OVERLOAD_REROUTES = 1;

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
  /** Time that the client has used up in earlier attempts of its own, in milliseconds. Default 0. */
  readonly clientWaitedMs?: number;
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
    // A gate knows calls by kinds: in a sidecar the route is the kind.
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
    overloadReroutes: MAX_OVERLOAD_REROUTES,
    // A call of the target is not refused early: what its caller has done would be lost.
    throttled: !isNested,
    hedgeDelayFactor: HEDGE_DELAY_FACTOR,
  };
}
