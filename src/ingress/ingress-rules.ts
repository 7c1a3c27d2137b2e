/**
 * The rules that an ingress applies to a request, in this order. The reason of a refusal names the rule; log lines show it
 * as `outcome`, metrics as `reason`. Pure.
 *
 *  1. not-ready            {@link decideOnHead}    503  the other rules need a declared configuration
 *  2. (no reason, no line) {@link decideOnHead}    431  the cheapest limit on what a client can make this process read
 *  3. unknown-kind         {@link decideOnHead}    404  the following rules need the route
 *  4. leaving              {@link decideOnHead}    503  a stopping process refuses before it does more work
 *  5. overload             {@link decideOnHead}    503  bounds memory, so it comes before any state is kept for the request
 *  6. stale-configuration  {@link decideAccess}    503  keys are not checked against a configuration that may be outdated
 *  7. unknown-group        {@link decideAccess}    401  unauthorized requests are refused before their body uses memory
 *     From here on the request counts as in flight, and its service is drawn from the backends of the route.
 *  8. too-large            {@link decideOnBody}    413  the body is read before anything is sent, so that a slow client
 *     request-timeout      {@link decideOnBody}    408  occupies no slot of a target and the request can be sent again
 *  9. quarantined          {@link decideOnSending} 503  needs the body; before the quota, so that no permit is used
 * 10. overload             {@link noRoomDownstream} 503  before the quota, so that no permit is used; only where a bottleneck is told
 * 11. rate-limited         {@link rateLimited}     429  last, so that only requests that may run use a permit
 *
 * Requests that are sent are then subject to the rules of the outgoing call (`outbound/outbound-call.ts`) and of the gate
 * (`gate/inbound-call.ts`). If a planned stop ends before the body has arrived, {@link abortedByStop} is the refusal.
 */
import type { CallDurations } from '../call/call-durations.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import {
  NO_RETRY_AFTER,
  QUARANTINED_SECONDS,
  SHORT_RETRY_SECONDS,
  staleConfigurationSeconds,
  stoppingSeconds,
} from '../call/retry-after.js';
import type { StopProgress } from '../call/stop-phase.js';
import { ingressAccepts } from '../call/stop-policy.js';
import type { RandomSource } from '../common/random.js';
import { createBodyRefusal, type BodyRefusalReason } from '../http/caller-exchange.js';
import type { Group } from '../policy/group-table.js';
import type { PolicyTable } from '../policy/policy-table.js';
import type { Route } from '../policy/route-table.js';
import type { QuotaState } from '../quota/ingress-quota.js';
import type { NestedRoutes } from '../routing/nested-routes.js';
import type { NoRoom } from './first-hop-room.js';
import { decideAccess } from './group-access.js';

/** Bytes of a header line besides name and value: colon, space, CR and LF. */
const HEADER_LINE_BYTES = 4;
/**
 * Fraction of its objective that a request may wait for control to grant its group more requests. Short enough that a
 * request refused after the wait can be retried within its objective.
 */
const QUOTA_WAIT_FRACTION = 0.1;

/** Parts of the head of a request that the rules depend on. */
export interface RequestHead {
  readonly host: string | undefined;
  /** Request target, including the query. */
  readonly url: string;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly apiKey: string | undefined;
}

/** State of the process that the rules on the head of a request depend on. */
export interface IngressState {
  /** The configuration in force; undefined until the first one is received. */
  readonly table: PolicyTable | undefined;
  readonly stop: StopProgress;
  /** Durations of the latest requests by route. */
  readonly durations: CallDurations;
  readonly nestedRoutes: NestedRoutes;
  readonly inFlight: number;
  /** Maximum number of requests in flight. */
  readonly maxInFlight: number;
  /** Milliseconds since control confirmed that no key of the table was revoked. */
  readonly proofAgeMs: () => number;
  /** Largest value of `proofAgeMs` at which requests with keys are accepted; Infinity for no limit. */
  readonly maxProofAgeMs: number;
  /** Adds jitter to `Retry-After`, so that refused clients do not retry at the same time. */
  readonly random: RandomSource;
}

/** The request is refused. */
export interface Refused {
  readonly type: 'refused';
  readonly refusal: Refusal;
}

/** Result of the rules on the head of a request. */
export type HeadDecision =
  | {
      readonly type: 'begin';
      readonly route: Route;
      /** Group of the API key; undefined if the route needs none. */
      readonly group: Group | undefined;
      /** Revision of the configuration that was applied. */
      readonly revision: number;
    }
  /** Answered with 431 and without body, log line or counter: the headers, including the request id, are not read. */
  | { readonly type: 'headers-too-large' }
  | Refused;

/** Rules 1 to 7: applied when the head of a request has arrived. */
export function decideOnHead(head: RequestHead, state: IngressState): HeadDecision {
  const { table, stop } = state;
  if (table === undefined) {
    return refused('not-ready', SHORT_RETRY_SECONDS, 'No configuration has been received yet.');
  }
  if (table.revision === 0) {
    return refused('not-ready', SHORT_RETRY_SECONDS, 'No configuration has been declared yet.');
  }
  if (headerBytes(head.rawHeaders) > table.ingress.maxHeaderBytes) {
    return { type: 'headers-too-large' };
  }
  const path = pathOf(head.url);
  const route = path === undefined ? undefined : table.routes.match(head.host, path);
  if (route === undefined) {
    return refused('unknown-kind', NO_RETRY_AFTER, 'No route matches host and path.');
  }
  if (!isAcceptedWhileStopping(route, state)) {
    const seconds = stoppingSeconds(stop.drainTimeLeftMs);
    return refused('leaving', seconds, 'The process is about to end.');
  }
  if (state.inFlight >= state.maxInFlight) {
    return refused('overload', SHORT_RETRY_SECONDS, 'The process is at its limit of requests.');
  }
  const proofAgeMs = state.proofAgeMs();
  const access = decideAccess(table, route, head.apiKey, proofAgeMs <= state.maxProofAgeMs);
  if (access.type === 'refused') {
    const detail = `${access.detail} Confirmed ${Math.round(proofAgeMs)} ms ago.`;
    const isStale = access.reason === 'stale-configuration';
    const seconds = isStale ? staleConfigurationSeconds(state.random) : NO_RETRY_AFTER;
    return refused(access.reason, seconds, detail);
  }
  return { type: 'begin', route, group: access.group, revision: table.revision };
}

/** Rule 8: the body was not read in full. Nothing of the request was sent to a target. */
export function decideOnBody(fault: BodyRefusalReason): Refused {
  return { type: 'refused', refusal: createBodyRefusal(fault) };
}

/** A request whose body has been read. */
export interface ReadRequest {
  readonly route: Route;
  readonly group: Group | undefined;
  readonly isQuarantined: boolean;
  /** Asks for room at the services on the path of the request; returns undefined if there is. Called at most once. */
  readonly findNoRoom: () => NoRoom | undefined;
}

/** Result of the rules on a request whose body has been read. */
export type SendingDecision =
  | { readonly type: 'send' }
  /** Needs a permit of the group; refused with {@link rateLimited} if none is available within `maxWaitMs`. */
  | { readonly type: 'ask-quota'; readonly group: Group; readonly maxWaitMs: number }
  | Refused;

/** Rules 9 to 11: applied when the body of a request has been read. */
export function decideOnSending(request: ReadRequest): SendingDecision {
  const { route, group, isQuarantined, findNoRoom } = request;
  if (isQuarantined) {
    return refused('quarantined', QUARANTINED_SECONDS, 'Targets crash under the request.');
  }
  const noRoom = findNoRoom();
  if (noRoom !== undefined) return noRoomDownstream(noRoom);
  // Requests that need no key belong to no group and have no rate limit.
  if (group === undefined) return { type: 'send' };
  return { type: 'ask-quota', group, maxWaitMs: route.objectiveMs * QUOTA_WAIT_FRACTION };
}

/** Rule 10: a service on the path of the request has no room for requests of its rank. */
export function noRoomDownstream({ service, admittedPart }: NoRoom): Refused {
  const percent = Math.round(admittedPart * 100);
  const detail = `Service '${service}' has room for ${percent}% of the requests of this rank.`;
  return refused('overload', SHORT_RETRY_SECONDS, detail);
}

/** Rule 11: no permit became available within the wait. */
export function rateLimited(group: Group, quota: QuotaState): Refused {
  const detail = `Group '${group.name}' is at its rate. ${quota.description}`;
  return refused('rate-limited', quota.retryAfterSeconds, detail);
}

/** A planned stop ended before the request was sent. */
export function abortedByStop(): Refused {
  const detail = 'The process had to end before the request was read.';
  return refused('leaving', SHORT_RETRY_SECONDS, detail);
}

function refused(reason: RefusalReason, retryAfterSeconds: number, detail: string): Refused {
  return { type: 'refused', refusal: { reason, verdict: 'not-run', retryAfterSeconds, detail } };
}

function isAcceptedWhileStopping({ name, repeatable }: Route, state: IngressState): boolean {
  const { stop, durations, nestedRoutes } = state;
  const isNested = nestedRoutes.has(name);
  return ingressAccepts(stop, durations, { kind: name, repeatable, isNested });
}

/** The path of a request target in origin form; undefined for other forms. */
function pathOf(url: string): string | undefined {
  if (!url.startsWith('/')) return undefined;
  const queryStart = url.indexOf('?');
  return queryStart < 0 ? url : url.slice(0, queryStart);
}

/** Size of the header lines, in bytes. */
function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = (rawHeaders.length / 2) * HEADER_LINE_BYTES;
  for (const part of rawHeaders) bytes += part.length;
  return bytes;
}
