/**
 * The outbound side of a sidecar: takes requests of the clients and of the target on its machine,
 * finds their route, and sends them to a sidecar beside a target of the route's service.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { writeRefusal } from '../http/caller-response.js';
import { PeerTransport, type PeerTransportOptions } from '../link/peer-transport.js';
import { readRequestBody, type BodyLimits, type RequestBody } from '../http/request-body.js';
import { deadlineOf, headerValue, type TargetHeaders } from '../http/target-headers.js';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { PolicyTable } from '../policy/policy-table.js';
import type { Route } from '../policy/route-table.js';
import type { NestedRoutes } from '../routing/nested-routes.js';
import type { WeightedSplit } from '../routing/weighted-split.js';
import type { CallContext } from './call-context.js';
import { CallDurations } from './call-durations.js';
import type { CallStats } from './call-stats.js';
import { comeBackSeconds, congestionOf, ingressContext, ingressRequest } from './ingress-policy.js';
import type { OutboundCall } from './outbound-call.js';
import type { OutboundResult } from './outbound-request.js';
import type { OutboundRouter } from './outbound-router.js';
import { QUARANTINED_RETRY_AFTER_SECONDS, type Refusal, type RefusalReason } from './refusal.js';
import type { IngressRecord, RequestJournal } from './request-journal.js';
import { StopPhase, type StopProgress } from './stop-phase.js';
import { boundedByStop, ingressTakes } from './stop-policy.js';

/** What the ingress is made of. */
export interface IngressServerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: OutboundRouter;
  readonly split: WeightedSplit;
  readonly transport: PeerTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: () => BodyLimits;
  /** Most requests under way; more are refused to bound memory. */
  readonly maxInFlight: number;
  /** The table in force; undefined until a first revision was received. */
  readonly table: () => PolicyTable | undefined;
  /** Once the process is stopping, answers close their connections. */
  readonly stop: StopProgress;
  readonly journal: RequestJournal;
  /** Learns of calls of the target that are held up or refused. */
  readonly downstream: CongestionLevel;
  /** How many of the target's runs are repeats, and so the calls that it makes. */
  readonly repeatedRuns: RepeatedRuns;
  /** Learns when a service that the target calls grants no repeats. */
  readonly retryBudget: ServiceRetryBudget;
  /** Whether clients read fractions of a second in `Retry-After`; RFC 9110 knows whole ones only. */
  readonly fractionalRetryAfter: boolean;
  /** Routes whose calls are made by targets, as gates have said. */
  readonly nestedRoutes: NestedRoutes;
  /** Whether the request with this fingerprint is kept from targets. */
  readonly isQuarantined: (fingerprint: string) => boolean;
}

const QUARANTINED: Refusal = {
  reason: 'quarantined',
  verdict: 'not-run',
  retryAfterSeconds: QUARANTINED_RETRY_AFTER_SECONDS,
  detail: 'Targets crash under the request.',
};
const STATUS_HEADERS_TOO_LARGE = 431;
/** Bytes of a header line besides name and value: colon, space, line end. */
const HEADER_LINE_BYTES = 4;
const NOT_READY_RETRY_SECONDS = 1;
/** Milliseconds are as fine as clients can keep to. */
const RETRY_AFTER_DECIMALS = 3;
const MILLISECONDS = 1_000;

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
      response.writeHead(STATUS_HEADERS_TOO_LARGE, { 'Content-Length': 0, Connection: 'close' });
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
    } else this.begin({ message, response, route, revision: table.revision });
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

  private begin(request: IngressRequest): void {
    const exchange = new IngressExchange(this.options, this.durations, request);
    this.underWay.add(exchange);
    exchange.start(() => this.underWay.delete(exchange));
  }

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
    detail: string,
  ): void {
    const drainSeconds = this.options.stop.drainTimeLeftMs / MILLISECONDS;
    const waitSeconds = NOT_READY_RETRY_SECONDS + (reason === 'leaving' ? drainSeconds : 0);
    const retryAfterSeconds =
      reason === 'unknown-kind' ? 0 : retryAfterOf(waitSeconds, this.options.fractionalRetryAfter);
    const requestId = headerValue(message.headers, this.options.transport.names.requestId) ?? '';
    this.options.stats.kind('unmatched').onRefused(reason);
    writeRefusal(response, { reason, verdict: 'not-run', retryAfterSeconds, detail }, requestId);
  }
}

/** A request whose route is known. */
interface IngressRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  /** Of the configuration that decided. */
  readonly revision: number;
}

/** One request under way at the ingress. */
class IngressExchange {
  private readonly startedAt: number;
  private readonly service: string;
  private context: CallContext;
  private call: OutboundCall | undefined;
  private readonly message: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly route: Route;

  constructor(
    private readonly options: IngressServerOptions,
    private readonly durations: CallDurations,
    private readonly request: IngressRequest,
  ) {
    this.message = request.message;
    this.response = request.response;
    this.route = request.route;
    this.startedAt = options.clock.now();
    this.service = options.split.next(this.route);
    this.context = this.createContext(options.transport.names);
  }

  /** @param onOver called once, when the exchange has ended */
  start(onOver: () => void): void {
    const { stats, bodyLimits } = this.options;
    stats.onStart();
    this.response.once('close', () => {
      onOver();
      this.onClose();
    });
    readRequestBody(this.message, bodyLimits(), (body, fault) => {
      if (body !== undefined) this.send(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else {
        this.response.shouldKeepAlive = false;
        const detail = 'The request body was not taken.';
        this.refuse({ reason: fault, verdict: 'not-run', retryAfterSeconds: 0, detail });
      }
    });
  }

  private createContext(names: TargetHeaders): CallContext {
    const { message, route, service, startedAt } = this;
    const { nestedRoutes, repeatedRuns } = this.options;
    const context = ingressContext(route, {
      requestId: headerValue(message.headers, names.requestId) ?? '',
      service,
      wantedMs: deadlineOf(names, message.headers),
      arrivedAt: startedAt,
      inheritedShare: nestedRoutes.has(route.name) ? repeatedRuns.share() : 0,
    });
    return boundedByStop(context, this.options.stop);
  }

  endWithProcess(): void {
    if (this.call !== undefined) this.call.endWithProcess();
    else if (!this.response.headersSent) {
      const detail = 'The process had to end before the request was read.';
      this.refuse({ reason: 'leaving', verdict: 'not-run', retryAfterSeconds: 1, detail });
    }
  }

  private send(body: RequestBody): void {
    // A request that was told that it has not run is not sent on when the rest of its body arrives.
    if (this.response.headersSent) return;
    const { router, transport, nestedRoutes, isQuarantined } = this.options;
    const fingerprint = this.fingerprint(body);
    if (isQuarantined(fingerprint)) {
      this.refuse(QUARANTINED);
      return;
    }
    this.context = { ...this.context, fingerprint };
    const { context, route, service } = this;
    this.call = router.call(
      service,
      ingressRequest(route, context, nestedRoutes.has(route.name)),
      new PeerTransport(transport, context, this.message, body, this.response),
      (result) => this.onResult(result),
    );
  }

  private fingerprint(body: RequestBody): string {
    const { message, service } = this;
    const isWhole = body.content === body.start;
    return fingerprintOf({
      service,
      callingService: this.options.transport.callingService(),
      method: message.method ?? '',
      host: message.headers.host ?? '',
      path: message.url ?? '',
      streamedLength: isWhole ? undefined : message.headers['content-length'],
      bodyStart: body.start,
    });
  }

  private onClose(): void {
    this.options.stats.onFinish();
    if (this.response.writableFinished) return;
    this.options.stats.kind(this.route.name).cancelled += 1;
    this.call?.cancel();
  }

  private onResult(result: OutboundResult): void {
    const stats = this.options.stats.kind(this.route.name);
    if (result.type !== 'broken') this.learn(result);
    if (result.type === 'refused') {
      this.refuse(result.refusal);
      return;
    }
    if (result.type === 'broken') {
      stats.broken += 1;
      this.options.journal.onIngress(this.record(), 'broken');
      this.response.destroy();
      return;
    }
    const heldMs = this.options.clock.now() - this.startedAt;
    stats.relayed += 1;
    stats.onLatency(heldMs);
    this.durations.onCall(this.route.name, heldMs);
  }

  /** Of a call that the target of this machine made: how congested it is below. */
  private learn(result: Exclude<OutboundResult, { type: 'broken' }>): void {
    const { nestedRoutes, downstream, retryBudget } = this.options;
    if (result.nested !== undefined && nestedRoutes.onAnswer(this.route.name, result.nested)) {
      this.options.journal.onRouteLearned(this.record(), result.nested);
    }
    if (!nestedRoutes.has(this.route.name)) return;
    downstream.onCall(congestionOf(result));
    retryBudget.onCallBelow(result.repeatRoom);
  }

  private refuse(refusal: Refusal): void {
    this.options.stats.kind(this.route.name).onRefused(refusal.reason);
    this.options.journal.onIngress(this.record(), refusal);
    const seconds = comeBackSeconds(this.route, refusal, this.options.random);
    const retryAfterSeconds = retryAfterOf(seconds, this.options.fractionalRetryAfter);
    writeRefusal(this.response, { ...refusal, retryAfterSeconds }, this.context.requestId);
  }

  /** What there is to say of the request now. */
  record(): IngressRecord {
    return {
      requestId: this.context.requestId,
      route: this.route.name,
      service: this.service,
      revision: this.request.revision,
      heldMs: Math.round(this.options.clock.now() - this.startedAt),
      attempts: this.call?.attempted ?? [],
      fingerprint: this.context.fingerprint,
    };
  }
}

/** Seconds as clients can read them. */
function retryAfterOf(seconds: number, isFractional: boolean): number {
  return isFractional ? Number(seconds.toFixed(RETRY_AFTER_DECIMALS)) : Math.ceil(seconds);
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
