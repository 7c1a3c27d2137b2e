/**
 * The rules that an ingress asks about a request, in their order; read this file from top to bottom. The reason of a
 * refusal, which the log line shows as `outcome` and the metrics as `reason`, names the rule.
 *
 *  1. not-ready            {@link decideOnHead}   503  without a configuration nothing else can be looked up
 *  2. (no reason, no line) {@link decideOnHead}   431  the cheapest bound on what a client can make this process read
 *  3. unknown-kind         {@link decideOnHead}   404  the rules below need the route
 *  4. leaving              {@link decideOnHead}   503  a process that ends refuses before it spends more on a request
 *  5. overload             {@link decideOnHead}   503  bounds memory, so it stands before anything is kept of the request
 *  6. stale-configuration  {@link decideAccess}       503  a key is not judged by a configuration that may be old
 *  7. unknown-group        {@link decideAccess}       401  who calls is known before the body costs memory
 *     From here on the request counts as under way; the service that runs it is drawn from the route's backends.
 *  8. too-large            {@link decideOnBody}   413  read whole before anything is sent, so that a slow client holds no
 *     request-timeout      {@link decideOnBody}   408  slot of a target and the request can be sent again
 *  9. quarantined          {@link decideOnSending} 503 needs the body; before the quota, so that it uses up no permit
 * 10. rate-limited         {@link rateLimited}    429  last, since a permit counts as a request that may run
 *
 * What is sent then meets the rules of the outgoing call (`outbound/outbound-call.ts`: throttle, choice of the target,
 * retries, hedged requests) and of the gate beside the target (`gate/inbound-call.ts`). A planned stop that ends before a
 * body has arrived refuses with {@link abortedByStop}.
 *
 * Owns nothing; pure. Relies on: `call/stop-policy.ts` for rule 4, `group-access.ts` for 6 and 7, the quarantine and the
 * quota for what they have decided, `call/retry-after.ts` for when the client is to come again.
 */
import type { CallDurations } from '../call/call-durations.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import {
  NO_RETRY_AFTER,
  QUARANTINED_SECONDS,
  SOON_SECONDS,
  staleConfigurationSeconds,
  stoppingSeconds,
} from '../call/retry-after.js';
import type { StopProgress } from '../call/stop-phase.js';
import { ingressTakes } from '../call/stop-policy.js';
import type { RandomSource } from '../common/random.js';
import { bodyNotTaken, type BodyRefusalReason } from '../http/caller-exchange.js';
import type { Group } from '../policy/group-table.js';
import type { PolicyTable } from '../policy/policy-table.js';
import type { Route } from '../policy/route-table.js';
import type { QuotaState } from '../quota/ingress-quota.js';
import type { NestedRoutes } from '../routing/nested-routes.js';
import { decideAccess } from './group-access.js';

/** Bytes of a header line besides name and value: colon, space, line end. */
const HEADER_LINE_BYTES = 4;
/**
 * Part of its objective that a request may wait for control to grant its group more. An answer of control takes some
 * milliseconds, and a request that is refused after the wait can still come again within its objective.
 */
const QUOTA_WAIT_FRACTION = 0.1;

/** What the head of a request says. */
export interface RequestHead {
  readonly host: string | undefined;
  /** As on the request line, with its query. */
  readonly url: string;
  /** Names and values alternating. */
  readonly rawHeaders: readonly string[];
  readonly apiKey: string | undefined;
}

/** What the rules on the head of a request ask about the process. */
export interface IngressState {
  /** The configuration in force; undefined until a first one was received. */
  readonly table: PolicyTable | undefined;
  readonly stop: StopProgress;
  /** How long requests of each route have taken here. */
  readonly durations: CallDurations;
  readonly nestedRoutes: NestedRoutes;
  /** Requests under way, and the most that may be. */
  readonly inFlight: number;
  readonly maxInFlight: number;
  /** Milliseconds since control confirmed that no key of the table has been taken away; asked only once it counts. */
  readonly proofAgeMs: () => number;
  /** Longest such time with which requests with keys run, in milliseconds; Infinity where there is no bound. */
  readonly maxProofAgeMs: number;
  /** Spreads the times after which refused clients come again. */
  readonly random: RandomSource;
}

/** An early end of a request. */
export interface Refused {
  readonly type: 'refused';
  readonly refusal: Refusal;
}

/** What the head of a request decides. */
export type HeadDecision =
  | {
      readonly type: 'begin';
      readonly route: Route;
      /** The group whose key the client presented; undefined where none is needed. */
      readonly group: Group | undefined;
      /** Of the configuration that decided. */
      readonly revision: number;
    }
  /** Answered 431 with no body, log line or counter: the request id is among the headers that are not read. */
  | { readonly type: 'headers-too-large' }
  | Refused;

/** Rules 1 to 7: asked when the head of a request has arrived. */
export function decideOnHead(head: RequestHead, state: IngressState): HeadDecision {
  const { table, stop } = state;
  if (table === undefined) {
    return refused('not-ready', SOON_SECONDS, 'No configuration has been received yet.');
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
    return refused('overload', SOON_SECONDS, 'The process is at its limit of requests.');
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

/** Rule 8: the body was not read in full. Nothing of the request was sent on. */
export function decideOnBody(fault: BodyRefusalReason): Refused {
  return { type: 'refused', refusal: bodyNotTaken(fault) };
}

/** What is known of a request once its body has been read. */
export interface ReadRequest {
  readonly route: Route;
  readonly group: Group | undefined;
  /** Whether the quarantine keeps the request from targets. */
  readonly isQuarantined: boolean;
}

/** What is done with a request whose body has been read. */
export type SendingDecision =
  | { readonly type: 'send' }
  /** A permit of the group is needed; {@link rateLimited} where none is had within the wait. */
  | { readonly type: 'ask-quota'; readonly group: Group; readonly maxWaitMs: number }
  | Refused;

/** Rules 9 and 10: asked when the body of a request has been read. */
export function decideOnSending({ route, group, isQuarantined }: ReadRequest): SendingDecision {
  if (isQuarantined) {
    return refused('quarantined', QUARANTINED_SECONDS, 'Targets crash under the request.');
  }
  // Requests that need no key belong to no group, and nothing bounds their rate.
  if (group === undefined) return { type: 'send' };
  return { type: 'ask-quota', group, maxWaitMs: route.objectiveMs * QUOTA_WAIT_FRACTION };
}

/** Rule 10, where the wait has brought no permit. */
export function rateLimited(group: Group, quota: QuotaState): Refused {
  const detail = `Group '${group.name}' is at its rate. ${quota.description}`;
  return refused('rate-limited', quota.retryAfterSeconds, detail);
}

/** The last moment of a planned stop has come, and the request has not been sent. */
export function abortedByStop(): Refused {
  const detail = 'The process had to end before the request was read.';
  return refused('leaving', SOON_SECONDS, detail);
}

function refused(reason: RefusalReason, retryAfterSeconds: number, detail: string): Refused {
  return { type: 'refused', refusal: { reason, verdict: 'not-run', retryAfterSeconds, detail } };
}

function isAcceptedWhileStopping({ name, repeatable }: Route, state: IngressState): boolean {
  const { stop, durations, nestedRoutes } = state;
  const isNested = nestedRoutes.has(name);
  return ingressTakes(stop, durations, { kind: name, repeatable, isNested });
}

/** The path of a request target in origin form; undefined for other forms. */
function pathOf(url: string): string | undefined {
  if (!url.startsWith('/')) return undefined;
  const queryStart = url.indexOf('?');
  return queryStart < 0 ? url : url.slice(0, queryStart);
}

/** Size of a request's header lines. */
function headerBytes(rawHeaders: readonly string[]): number {
  let bytes = (rawHeaders.length / 2) * HEADER_LINE_BYTES;
  for (const part of rawHeaders) bytes += part.length;
  return bytes;
}
