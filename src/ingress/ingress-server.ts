/**
 * The outbound side of a sidecar: takes requests of the clients and of the target on its machine,
 * finds their route, and sends them to a sidecar beside a target of the route's service.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpStatus } from '../common/http-status.js';
import { writeRefusal } from '../http/caller-response.js';
import { headerValue } from '../http/target-headers.js';
import type { PolicyTable } from '../policy/policy-table.js';
import type { Route } from '../policy/route-table.js';
import { CallDurations } from '../call/call-durations.js';
import { accessOf } from './group-access.js';
import {
  IngressExchange,
  type IngressExchangeOptions,
  type IngressRequest,
} from './ingress-exchange.js';
import type { RefusalReason } from '../call/refusal.js';
import {
  headerSeconds,
  NO_RETRY_AFTER,
  SOON_SECONDS,
  staleConfigurationSeconds,
  stoppingSeconds,
} from '../call/retry-after.js';
import type { IngressRecord } from '../call/request-journal.js';
import { StopPhase } from '../call/stop-phase.js';
import { ingressTakes } from '../call/stop-policy.js';

/** What the ingress is made of. */
export interface IngressServerOptions extends IngressExchangeOptions {
  /** Most requests under way; more are refused to bound memory. */
  readonly maxInFlight: number;
  /** The table in force; undefined until a first revision was received. */
  readonly table: () => PolicyTable | undefined;
  /** Milliseconds since control confirmed that no key of the table has been taken away. */
  readonly proofAgeMs: () => number;
  /** Longest such time with which requests with keys run; Infinity where there is no bound. */
  readonly maxProofAgeMs: number;
}

/** Bytes of a header line besides name and value: colon, space, line end. */
const HEADER_LINE_BYTES = 4;
/** Trying again does not help. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set(['unknown-kind', 'unknown-group']);

export class IngressServer {
  private readonly underWay = new Set<IngressExchange>();
  private readonly durations = new CallDurations();

  constructor(private readonly options: IngressServerOptions) {}

  /** Requests that have begun and have not ended. */
  recordsUnderWay(): IngressRecord[] {
    return [...this.underWay].map((exchange) => exchange.record());
  }

  /** Handles one request. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    response.sendDate = false;
    const { stop } = this.options;
    if (stop.phase !== StopPhase.Running) response.shouldKeepAlive = false;
    const table = this.options.table();
    if (table === undefined) {
      this.refuse(message, response, 'not-ready', 'No configuration has been received yet.');
      return;
    }
    if (headerBytes(message) > table.ingress.maxHeaderBytes) {
      response.writeHead(HttpStatus.HeadersTooLarge, { 'Content-Length': 0, Connection: 'close' });
      response.end();
      return;
    }
    const path = pathOf(message.url ?? '');
    const route = path === undefined ? undefined : table.routes.match(message.headers.host, path);
    if (route === undefined) {
      this.refuse(message, response, 'unknown-kind', 'No route matches host and path.');
    } else if (!this.takes(route)) {
      this.refuse(message, response, 'leaving', 'The process is about to end.');
    } else if (this.options.stats.inFlight >= this.options.maxInFlight) {
      this.refuse(message, response, 'overload', 'The process is at its limit of requests.');
    } else this.beginIfAllowed(message, response, route, table);
  };

  /** The process is about to end: answers each request under way, truly, that it can't be waited for. */
  endWithProcess(): void {
    for (const exchange of [...this.underWay]) exchange.endWithProcess();
  }

  private takes({ name: kind, repeatable }: Route): boolean {
    const { stop, nestedRoutes } = this.options;
    const isNested = nestedRoutes.has(kind);
    return ingressTakes(stop, this.durations, { kind, repeatable, isNested });
  }

  private beginIfAllowed(
    message: IncomingMessage,
    response: ServerResponse,
    route: Route,
    table: PolicyTable,
  ): void {
    const key = headerValue(message.headers, this.options.transport.names.apiKey);
    const proofAgeMs = this.options.proofAgeMs();
    const access = accessOf(table, route, key, proofAgeMs <= this.options.maxProofAgeMs);
    if (access.type === 'refused') {
      const detail = `${access.detail} Confirmed ${Math.round(proofAgeMs)} ms ago.`;
      this.refuse(message, response, access.reason, detail);
    } else {
      const { group } = access;
      this.begin({ message, response, route, group, revision: table.revision });
    }
  }

  private begin(request: IngressRequest): void {
    const exchange = new IngressExchange(this.options, this.durations, request);
    this.underWay.add(exchange);
    exchange.start(() => this.underWay.delete(exchange));
  }

  private retryAfterSeconds(reason: RefusalReason): number {
    const { stop, random } = this.options;
    if (FINAL_REASONS.has(reason)) return NO_RETRY_AFTER;
    if (reason === 'leaving') return stoppingSeconds(stop.drainTimeLeftMs);
    if (reason === 'stale-configuration') return staleConfigurationSeconds(random);
    return SOON_SECONDS;
  }

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
    detail: string,
  ): void {
    const { fractionalRetryAfter } = this.options;
    const retryAfterSeconds = headerSeconds(this.retryAfterSeconds(reason), fractionalRetryAfter);
    const requestId = headerValue(message.headers, this.options.transport.names.requestId) ?? '';
    this.options.stats.kind('unmatched').onRefused(reason);
    this.options.journal.onRefusedEarly(requestId, { reason, detail });
    writeRefusal(response, { reason, verdict: 'not-run', retryAfterSeconds, detail }, requestId);
  }
}

/** The path of a request target in origin form; undefined for other forms. */
function pathOf(url: string): string | undefined {
  if (!url.startsWith('/')) return undefined;
  const queryStart = url.indexOf('?');
  return queryStart < 0 ? url : url.slice(0, queryStart);
}

/** Size of a request's header lines. */
function headerBytes(message: IncomingMessage): number {
  const { rawHeaders } = message;
  let bytes = (rawHeaders.length / 2) * HEADER_LINE_BYTES;
  for (const part of rawHeaders) bytes += part.length;
  return bytes;
}
