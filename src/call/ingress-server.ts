/**
 * The outbound side of a sidecar: takes requests of the clients and of the target on its machine,
 * finds their route, and sends them to a sidecar beside a target of the route's service.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { Clock } from '../common/clock.js';
import { writeRefusal } from '../http/caller-response.js';
import { PeerTransport, type PeerTransportOptions } from '../link/peer-transport.js';
import { readRequestBody, type BodyLimits, type RequestBody } from '../http/request-body.js';
import { deadlineOf, headerValue, type TargetHeaders } from '../http/target-headers.js';
import type { PolicyTable } from '../policy/policy-table.js';
import type { Route } from '../policy/route-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import type { WeightedSplit } from '../routing/weighted-split.js';
import { StopPhase } from './stop-phase.js';
import { contextName, type CallContext } from './call-context.js';
import type { CallStats } from './call-stats.js';
import type { OutboundCall, OutboundResult } from './outbound-call.js';
import type { OutboundRouter } from './outbound-router.js';
import type { Refusal, RefusalReason } from './refusal.js';
import type { RequestJournal } from './request-journal.js';

/** What the ingress is made of. */
export interface IngressServerOptions {
  readonly clock: Clock;
  readonly router: OutboundRouter;
  readonly split: WeightedSplit;
  readonly transport: PeerTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: () => BodyLimits;
  /** Most requests under way; more are refused to bound memory. */
  readonly maxInFlight: number;
  /** Retries as a share of first attempts. */
  readonly retryShare: number;
  /** The table in force; undefined until a first revision was received. */
  readonly table: () => PolicyTable | undefined;
  /** Once the process is stopping, answers close their connections. */
  readonly stopPhase: () => StopPhase;
  readonly journal: RequestJournal;
  /** Learns of calls of the target that are held up or refused. */
  readonly downstream: CongestionLevel;
  /** Routes whose calls are made by targets, as gates have said. */
  readonly nestedRoutes: Set<string>;
}

/** All requests share one group: routes carry their rank, and clients no key. */
const GROUP = 'default';
/** Part of its objective that a request may wait to be let in: refused then, it can be sent again. */
const WAIT_FRACTION = 0.25;
/**
 * Part of the calls below that may be held up before requests of a route are refused early, by
 * importance, least first: the less urgent ones are to make room first.
 */
const TOLERATED_BY_IMPORTANCE: readonly number[] = [0.1, 0.15, 0.6, 0.95];
/** An answer that takes this multiple of the usual time is taken for lost. */
const OVERDUE_FACTOR = 6;
/** Targets that are tried after one has refused for overload. */
const OVERLOAD_REROUTES = 1;
const STATUS_HEADERS_TOO_LARGE = 431;
/** Bytes of a header line besides name and value: colon, space, line end. */
const HEADER_LINE_BYTES = 4;
const NOT_READY_RETRY_SECONDS = 1;

export class IngressServer {
  constructor(private readonly options: IngressServerOptions) {}

  /** Handles one request. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    response.sendDate = false;
    const phase = this.options.stopPhase();
    if (phase !== StopPhase.Running) response.shouldKeepAlive = false;
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
    } else if (phase === StopPhase.Finishing && !this.options.nestedRoutes.has(route.name)) {
      this.refuse(message, response, 'leaving', 'The process is about to end.');
    } else if (this.options.stats.inFlight >= this.options.maxInFlight) {
      this.refuse(message, response, 'overload', 'The process is at its limit of requests.');
    } else new IngressExchange(this.options, message, response, route, table.revision).start();
  };

  private refuse(
    message: IncomingMessage,
    response: ServerResponse,
    reason: RefusalReason,
    detail: string,
  ): void {
    const retryAfterSeconds = reason === 'unknown-kind' ? 0 : NOT_READY_RETRY_SECONDS;
    const requestId = headerValue(message.headers, this.options.transport.names.requestId) ?? '';
    this.options.stats.kind('unmatched').onRefused(reason);
    writeRefusal(response, { reason, verdict: 'not-run', retryAfterSeconds, detail }, requestId);
  }
}

/** One request under way at the ingress. */
class IngressExchange {
  private readonly startedAt: number;
  private readonly service: string;
  private readonly context: CallContext;
  private call: OutboundCall | undefined;

  constructor(
    private readonly options: IngressServerOptions,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly route: Route,
    private readonly revision: number,
  ) {
    this.startedAt = options.clock.now();
    this.service = options.split.next(route);
    this.context = this.createContext(options.transport.names);
  }

  start(): void {
    const { stats, bodyLimits } = this.options;
    stats.onStart();
    this.response.once('close', () => this.onClose());
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
    const { message, route, startedAt } = this;
    const wantedMs = deadlineOf(names, message.headers) ?? route.timeoutMs;
    return {
      requestId: headerValue(message.headers, names.requestId) ?? '',
      group: GROUP,
      kind: contextName(route.name),
      importance: route.importance,
      deadlineAt: startedAt + Math.min(wantedMs, route.timeoutMs),
      retries: route.maxTargets - 1,
      service: this.service,
      waitUntil: startedAt + route.objectiveMs * WAIT_FRACTION,
    };
  }

  private send(body: RequestBody): void {
    const { router, transport, retryShare } = this.options;
    const { context, route, service } = this;
    this.call = router.call(
      service,
      {
        lane: `${route.name}/${service}`,
        repeatable: route.repeatable,
        deadlineAt: context.deadlineAt,
        retryRatio: retryShare,
        allowance: new RetryAllowance(context.retries),
        overloadReroutes: OVERLOAD_REROUTES,
        // A call of the target is not refused early: what its caller has done would be lost.
        throttled: !this.options.nestedRoutes.has(route.name),
        overdueFactor: OVERDUE_FACTOR,
        toleratedCongestion: TOLERATED_BY_IMPORTANCE[route.importance]!,
      },
      new PeerTransport(transport, context, this.message, body, this.response),
      (result) => this.onResult(result),
    );
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
    stats.relayed += 1;
    stats.onLatency(this.options.clock.now() - this.startedAt);
  }

  /** Of a call that the target of this machine made: how congested it is below. */
  private learn(result: Exclude<OutboundResult, { type: 'broken' }>): void {
    const { nestedRoutes, downstream } = this.options;
    if (result.nested) nestedRoutes.add(this.route.name);
    if (!nestedRoutes.has(this.route.name)) return;
    const isLost =
      result.type === 'refused' && (result.overloaded || result.refusal.reason === 'deadline');
    downstream.onCall(isLost ? 1 : result.congestion);
  }

  private refuse(refusal: Refusal): void {
    this.options.stats.kind(this.route.name).onRefused(refusal.reason);
    this.options.journal.onIngress(this.record(), refusal);
    writeRefusal(this.response, refusal, this.context.requestId);
  }

  private record(): Parameters<RequestJournal['onIngress']>[0] {
    return {
      requestId: this.context.requestId,
      route: this.route.name,
      service: this.service,
      revision: this.revision,
      heldMs: Math.round(this.options.clock.now() - this.startedAt),
      attempts: this.call?.attempted ?? [],
    };
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
