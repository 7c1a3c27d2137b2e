/**
 * The edge: receives HTTP requests from clients, determines their group and kind, and routes them to a service.
 * {@link EdgeServer.handle} lists the checks in order.
 */
import { hash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import {
  createBodyRefusal,
  CallerExchange,
  type BodyRefusalReason,
} from '../http/caller-exchange.js';
import { writeRefusal } from '../http/caller-response.js';
import { closeAfterResponse, isBehindLastResponse } from '../http/closing-connections.js';
import type { BodyLimits, RequestBody } from '../http/request-body.js';
import { NodeTransport, type NodeTransportOptions } from '../http/node-transport.js';
import type { Group, PolicyTable, RequestKind } from '../policy/policy-table.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import { createEdgeOutboundRequest, createEdgeContext } from './edge-context.js';
import type { OutboundCall } from '../outbound/outbound-call.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import { requestPath, waitPreferenceMs } from '../call/request-target.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import { StopPhase, type StopProgress } from '../call/stop-phase.js';
import { limitDeadlineToStop } from '../call/stop-policy.js';
import { newTraceId } from '../call/trace-parent.js';
import { NO_RETRY_AFTER, SHORT_RETRY_SECONDS } from '../call/retry-after.js';

/** Options of {@link EdgeServer}. */
export interface EdgeServerOptions {
  readonly clock: Clock;
  readonly router: OutboundRouter;
  readonly transport: NodeTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: BodyLimits;
  /** Maximum number of requests in flight, which bounds memory. Further requests are refused. */
  readonly maxInFlight: number;
  /** Returns the current policy table, or undefined before the first revision is received. */
  readonly table: () => PolicyTable | undefined;
  /** During shutdown, responses close their connections and deadlines are limited to its end. */
  readonly stop: StopProgress;
}

const BEARER_PREFIX = 'bearer ';
const API_KEY_HEADER = 'x-api-key';
/** Kind under which refused requests without a kind are counted. */
const UNMATCHED_KIND = 'unmatched';
const BODY_DETAILS: Record<BodyRefusalReason, string> = {
  'too-large': 'The request body is too large.',
  'request-timeout': 'The request body came too slowly.',
};

/** Returns the API key of a request, or undefined if it has none. */
function getApiKey(message: IncomingMessage): string | undefined {
  const direct = message.headers[API_KEY_HEADER];
  if (typeof direct === 'string') return direct;
  const authorization = message.headers.authorization;
  if (authorization?.slice(0, BEARER_PREFIX.length).toLowerCase() !== BEARER_PREFIX) {
    return undefined;
  }
  return authorization.slice(BEARER_PREFIX.length).trim();
}

export class EdgeServer {
  constructor(private readonly options: EdgeServerOptions) {}

  /** Handles one client request. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    if (isBehindLastResponse(message)) return;
    const requestId = newTraceId();
    if (this.options.stop.phase !== StopPhase.Running) closeAfterResponse(response);
    const table = this.options.table();
    if (table === undefined) {
      this.refuseEarly(response, requestId, 'not-ready', 'No policy has been received yet.');
      return;
    }
    // The group is checked before the kind, so that unauthenticated clients cannot probe for kinds.
    const group = this.findGroup(table, message);
    if (group === undefined) {
      this.refuseEarly(response, requestId, 'unknown-group', 'The API key is missing or unknown.');
      return;
    }
    const path = requestPath(message.url);
    const kind = path === undefined ? undefined : table.matchKind(message.method ?? '', path);
    // Internal kinds may only be called by targets.
    if (kind === undefined || kind.internal) {
      this.refuseEarly(response, requestId, 'unknown-kind', 'No kind matches method and path.');
      return;
    }
    // Must precede everything that allocates memory for the request.
    if (this.options.stats.inFlight >= this.options.maxInFlight) {
      this.refuseEarly(response, requestId, 'overload', 'The edge is at its limit.');
      return;
    }
    const context = this.createContext(message, requestId, group, kind);
    new EdgeExchange(this.options, message, response, context, kind).start();
  };

  private findGroup(table: PolicyTable, message: IncomingMessage): Group | undefined {
    const key = getApiKey(message);
    return table.findGroupByKeyHash(key === undefined ? undefined : hash('sha256', key, 'hex'));
  }

  private createContext(
    message: IncomingMessage,
    requestId: string,
    group: Group,
    kind: RequestKind,
  ): CallContext {
    const clientTimeoutMs = waitPreferenceMs(message.headers.prefer);
    const { clock, stop } = this.options;
    return limitDeadlineToStop(
      createEdgeContext(requestId, group, kind, clientTimeoutMs, clock.now()),
      stop,
    );
  }

  private refuseEarly(
    response: ServerResponse,
    requestId: string,
    reason: RefusalReason,
    detail: string,
  ): void {
    const isTransient = reason === 'overload' || reason === 'not-ready';
    const retryAfterSeconds = isTransient ? SHORT_RETRY_SECONDS : NO_RETRY_AFTER;
    this.options.stats.statsFor(UNMATCHED_KIND).onRefused(reason);
    writeRefusal(response, { reason, verdict: 'not-run', retryAfterSeconds, detail }, requestId);
  }
}

/** One request in flight. */
class EdgeExchange extends CallerExchange {
  private readonly startedAt: number;
  private call: OutboundCall | undefined;

  constructor(
    private readonly options: EdgeServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
    private readonly context: CallContext,
    private readonly kind: RequestKind,
  ) {
    super(message, response, options.stats, kind.name);
    this.startedAt = options.clock.now();
  }

  start(): void {
    this.begin();
    this.readBody(this.options.bodyLimits);
  }

  protected override onBodyRefused(reason: BodyRefusalReason): void {
    this.refuse(createBodyRefusal(reason, BODY_DETAILS[reason]));
  }

  protected override onBody(body: RequestBody): void {
    const { router, transport } = this.options;
    const { context, kind, message, response } = this;
    this.call = router.call(
      kind.service,
      createEdgeOutboundRequest(context, kind),
      new NodeTransport(transport, context, message, body, response),
      (result) => this.onResult(result),
    );
  }

  protected override onClosed(isAnswered: boolean): void {
    if (isAnswered || this.call === undefined) return;
    this.countCancelled();
    this.call.cancel();
  }

  private onResult(result: OutboundResult): void {
    switch (result.type) {
      case 'refused':
        this.refuse(result.refusal);
        return;
      case 'broken':
        this.abortResponse(this.context.requestId);
        return;
      case 'relayed':
        this.countRelayed(this.options.clock.now() - this.startedAt);
    }
  }

  private refuse(refusal: Refusal): void {
    this.writeRefusal(refusal, this.context.requestId);
  }
}
