/**
 * The edge: takes plain HTTP requests from outside, finds group and kind, mints the call's context
 * and sends it to a service. {@link EdgeServer.handle} is the list of its rules, in order.
 *
 * Owns the exchanges under way. Relies on the policy in force, and on the router for everything after the body.
 */
import { hash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import { bodyNotTaken, CallerExchange, type BodyRefusalReason } from '../http/caller-exchange.js';
import { writeRefusal } from '../http/caller-response.js';
import type { BodyLimits, RequestBody } from '../http/request-body.js';
import { NodeTransport, type NodeTransportOptions } from '../http/node-transport.js';
import type { Group, PolicyTable, RequestKind } from '../policy/policy-table.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import { edgeOutboundRequest, mintContext } from './mint-context.js';
import type { OutboundCall } from '../outbound/outbound-call.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import { requestPath, waitPreferenceMs } from '../call/request-target.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import { StopPhase, type StopProgress } from '../call/stop-phase.js';
import { boundedByStop } from '../call/stop-policy.js';
import { newTraceId } from '../call/trace-parent.js';
import { NO_RETRY_AFTER, SOON_SECONDS } from '../call/retry-after.js';

/** What an edge is made of. */
export interface EdgeServerOptions {
  readonly clock: Clock;
  readonly router: OutboundRouter;
  readonly transport: NodeTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: BodyLimits;
  /** Most requests under way; more are refused to bound memory. */
  readonly maxInFlight: number;
  /** The table in force; undefined until a first revision was received. */
  readonly table: () => PolicyTable | undefined;
  /** Once the edge is stopping, answers close their connections, and no request outlasts it. */
  readonly stop: StopProgress;
}

const BEARER_PREFIX = 'bearer ';
const API_KEY_HEADER = 'x-api-key';
/** Requests that are refused before they have a kind are counted under this name. */
const UNMATCHED_KIND = 'unmatched';
const BODY_DETAILS: Record<BodyRefusalReason, string> = {
  'too-large': 'The request body is too large.',
  'request-timeout': 'The request body came too slowly.',
};

/** The API key that a caller presents, or undefined. */
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

  /** Handles one request from outside. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    const requestId = newTraceId();
    if (this.options.stop.phase !== StopPhase.Running) response.shouldKeepAlive = false;
    const table = this.options.table();
    // Without a policy nothing else can be looked up.
    if (table === undefined) {
      this.refuseEarly(response, requestId, 'not-ready', 'No policy has been received yet.');
      return;
    }
    // Strangers learn nothing of the kinds that there are.
    const group = this.findGroup(table, message);
    if (group === undefined) {
      this.refuseEarly(response, requestId, 'unknown-group', 'The API key is missing or unknown.');
      return;
    }
    const path = requestPath(message.url);
    const kind = path === undefined ? undefined : table.matchKind(message.method ?? '', path);
    // Internal kinds are for calls of targets alone.
    if (kind === undefined || kind.internal) {
      this.refuseEarly(response, requestId, 'unknown-kind', 'No kind matches method and path.');
      return;
    }
    // Bounds memory, so it stands before anything is kept of the request.
    if (this.options.stats.inFlight >= this.options.maxInFlight) {
      this.refuseEarly(response, requestId, 'overload', 'The edge is at its limit.');
      return;
    }
    const context = this.createContext(message, requestId, group, kind);
    new EdgeExchange(this.options, message, response, context, kind).start();
  };

  private findGroup(table: PolicyTable, message: IncomingMessage): Group | undefined {
    const key = getApiKey(message);
    return table.groupOfKeyHash(key === undefined ? undefined : hash('sha256', key, 'hex'));
  }

  private createContext(
    message: IncomingMessage,
    requestId: string,
    group: Group,
    kind: RequestKind,
  ): CallContext {
    const clientTimeoutMs = waitPreferenceMs(message.headers.prefer);
    const { clock, stop } = this.options;
    return boundedByStop(mintContext(requestId, group, kind, clientTimeoutMs, clock.now()), stop);
  }

  private refuseEarly(
    response: ServerResponse,
    requestId: string,
    reason: RefusalReason,
    detail: string,
  ): void {
    const isTransient = reason === 'overload' || reason === 'not-ready';
    const retryAfterSeconds = isTransient ? SOON_SECONDS : NO_RETRY_AFTER;
    this.options.stats.kind(UNMATCHED_KIND).onRefused(reason);
    writeRefusal(response, { reason, verdict: 'not-run', retryAfterSeconds, detail }, requestId);
  }
}

/** One request under way at the edge. */
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
    this.refuse(bodyNotTaken(reason, BODY_DETAILS[reason]));
  }

  protected override onBody(body: RequestBody): void {
    const { router, transport } = this.options;
    const { context, kind, message, response } = this;
    this.call = router.call(
      kind.service,
      edgeOutboundRequest(context, kind),
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
        this.breakOff();
        return;
      case 'relayed':
        this.countRelayed(this.options.clock.now() - this.startedAt);
    }
  }

  private refuse(refusal: Refusal): void {
    this.writeRefusal(refusal, this.context.requestId);
  }
}
