/**
 * The outbound server of a node: routes the calls that the local target makes to other services. The `Host` header names
 * the service, `traceparent` the inbound call on whose behalf the call is made and whose deadline and retries it inherits.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import {
  createBodyRefusal,
  CallerExchange,
  type BodyRefusalReason,
} from '../http/caller-exchange.js';
import type { BodyLimits, RequestBody } from '../http/request-body.js';
import { NodeTransport, type NodeTransportOptions } from '../http/node-transport.js';
import { LOWEST_IMPORTANCE } from '../policy/importance.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import { callPriority } from '../admission/call-priority.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import type { InboundCall } from '../gate/inbound-call.js';
import type { InboundRegistry } from '../gate/inbound-registry.js';
import { UNATTRIBUTED_GROUP, UNKNOWN_KIND } from './node-inbound-server.js';
import type { OutboundCall } from '../outbound/outbound-call.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import type { Refusal } from '../call/refusal.js';
import { requestPath } from '../call/request-target.js';
import { newTraceId, parseTraceParent } from '../call/trace-parent.js';
import { SHORT_RETRY_SECONDS } from '../call/retry-after.js';

/** Options of {@link NodeOutboundServer}. */
export interface OutboundServerOptions {
  readonly clock: Clock;
  readonly router: OutboundRouter;
  readonly registry: InboundRegistry;
  readonly transport: NodeTransportOptions;
  readonly bodyLimits: BodyLimits;
  readonly stats: CallStats;
  readonly table: () => PolicyTable | undefined;
  /** Returns whether any endpoint of the service is known. */
  readonly hasService: (service: string) => boolean;
}

/** Deadline of calls without a declared kind, relative to their arrival. */
const DEFAULT_DEADLINE_MS = 2_000;
/** Retries per first attempt for calls without a declared kind. */
const DEFAULT_RETRY_RATIO = 0.1;

const UNKNOWN_SERVICE: Refusal = {
  reason: 'unknown-service',
  verdict: 'not-run',
  retryAfterSeconds: SHORT_RETRY_SECONDS,
  detail: 'The Host header names no service with a known target.',
};

export class NodeOutboundServer {
  constructor(private readonly options: OutboundServerOptions) {}

  /** Handles one call from the target. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    const parent = parseTraceParent(message.headers.traceparent as string | undefined);
    const inbound = this.options.registry.find(parent);
    new OutboundExchange(this.options, message, response, inbound).start();
  };
}

/** One outbound call in flight. */
class OutboundExchange extends CallerExchange {
  private readonly service: string;
  private readonly context: CallContext;
  private readonly table: PolicyTable;
  private readonly path: string;
  private call: OutboundCall | undefined;
  private isNestedActive = false;

  constructor(
    private readonly options: OutboundServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
    private readonly inbound: InboundCall | undefined,
  ) {
    const table = options.table() ?? EMPTY_POLICY_TABLE;
    const path = requestPath(message.url) ?? '';
    const context =
      inbound?.context ?? createUnattributedContext(options.clock, table, message, path);
    super(message, response, options.stats, context.kind);
    this.service = (message.headers.host ?? '').split(':', 1)[0]!.toLowerCase();
    this.table = table;
    this.path = path;
    this.context = context;
  }

  start(): void {
    const { bodyLimits, hasService } = this.options;
    this.begin();
    if (hasService(this.service)) this.readBody(bodyLimits);
    else this.refuse(UNKNOWN_SERVICE);
  }

  protected override onBodyRefused(reason: BodyRefusalReason): void {
    this.refuse(createBodyRefusal(reason));
  }

  protected override onBody(body: RequestBody): void {
    const { router, transport } = this.options;
    const { context, inbound, table, service, message } = this;
    this.beginNested();
    this.call = router.call(
      service,
      {
        trafficClass: `${service}/${context.kind}/${context.group}`,
        priority: callPriority({ importance: context.importance, isNested: true }),
        repeatable: table.isRepeatable(service, message.method ?? '', this.path),
        deadlineAt: context.deadlineAt,
        retryRatio: table.kind(context.kind)?.retryRatio ?? DEFAULT_RETRY_RATIO,
        allowance: inbound?.allowance ?? new RetryAllowance(0),
      },
      new NodeTransport(transport, context, message, body, this.response),
      (result) => this.onResult(result),
    );
  }

  protected override onClosed(isAnswered: boolean): void {
    if (isAnswered || this.call === undefined) return;
    this.countCancelled();
    this.endNested(false);
    this.call.cancel();
  }

  private onResult(result: OutboundResult): void {
    this.endNested(result.type !== 'broken' && result.overloaded);
    switch (result.type) {
      case 'refused':
        this.refuse(result.refusal);
        return;
      case 'broken':
        this.abortResponse(this.context.requestId);
        return;
      case 'relayed':
        // The callee's node records the latency.
        this.countRelayed(undefined);
    }
  }

  private beginNested(): void {
    this.isNestedActive = true;
    this.inbound?.onNestedStart();
  }

  private endNested(overloaded: boolean): void {
    if (!this.isNestedActive) return;
    this.isNestedActive = false;
    this.inbound?.onNestedEnd(overloaded);
  }

  private refuse(refusal: Refusal): void {
    this.writeRefusal(refusal, this.context.requestId);
  }
}

/** Creates the context of a call that belongs to no known inbound call. Such calls are never retried. */
function createUnattributedContext(
  clock: Clock,
  table: PolicyTable,
  message: IncomingMessage,
  path: string,
): CallContext {
  const kind = table.matchKind(message.method ?? '', path);
  return {
    requestId: newTraceId(),
    group: UNATTRIBUTED_GROUP,
    kind: kind?.name ?? UNKNOWN_KIND,
    importance: kind?.importance ?? LOWEST_IMPORTANCE,
    deadlineAt: clock.now() + (kind?.deadlineMs ?? DEFAULT_DEADLINE_MS),
    retries: 0,
  };
}
