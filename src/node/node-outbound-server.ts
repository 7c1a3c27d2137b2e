/**
 * The outbound side of a node: the target's own calls to other services leave through it. The
 * `Host` of a call names the service; `traceparent` names the call on whose behalf it is made.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import { readRequestBody, type BodyLimits, type RequestBody } from '../http/request-body.js';
import { writeRefusal } from '../http/caller-response.js';
import { NodeTransport, type NodeTransportOptions } from '../http/node-transport.js';
import { LOWEST_IMPORTANCE } from '../policy/importance.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import type { InboundCall } from '../gate/inbound-call.js';
import type { InboundRegistry } from '../gate/inbound-registry.js';
import { UNATTRIBUTED_GROUP, UNKNOWN_KIND } from './node-inbound-server.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import type { Refusal } from '../call/refusal.js';
import { requestPath } from '../call/request-target.js';
import { newTraceId, parseTraceParent } from '../call/trace-parent.js';
import { NO_RETRY_AFTER, SOON_SECONDS } from '../call/retry-after.js';

/** What the outbound side is made of. */
export interface OutboundServerOptions {
  readonly clock: Clock;
  readonly router: OutboundRouter;
  readonly registry: InboundRegistry;
  readonly transport: NodeTransportOptions;
  readonly bodyLimits: BodyLimits;
  readonly stats: CallStats;
  readonly table: () => PolicyTable | undefined;
  /** Whether any endpoint of the service is known. */
  readonly hasService: (service: string) => boolean;
}

const DEFAULT_DEADLINE_MS = 2_000;
const DEFAULT_RETRY_RATIO = 0.1;

export class NodeOutboundServer {
  constructor(private readonly options: OutboundServerOptions) {}

  /** Handles one call that the target makes. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    const parent = parseTraceParent(message.headers.traceparent as string | undefined);
    const inbound = this.options.registry.find(parent);
    new OutboundExchange(this.options, message, response, inbound).start();
  };
}

/** One call that the target makes. */
class OutboundExchange {
  private readonly service: string;
  private readonly context: CallContext;
  private readonly table: PolicyTable;
  private readonly path: string;
  private nestedActive = false;

  constructor(
    private readonly options: OutboundServerOptions,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly inbound: InboundCall | undefined,
  ) {
    this.service = (message.headers.host ?? '').split(':', 1)[0]!.toLowerCase();
    this.table = options.table() ?? EMPTY_POLICY_TABLE;
    this.path = requestPath(message.url) ?? '';
    this.context = inbound?.context ?? this.unattributedContext();
  }

  start(): void {
    const { stats, bodyLimits, hasService } = this.options;
    stats.onStart();
    this.response.once('close', () => stats.onFinish());
    if (!hasService(this.service)) {
      const detail = 'The Host header names no service with a known target.';
      const retryAfterSeconds = SOON_SECONDS;
      this.refuse({ reason: 'unknown-service', verdict: 'not-run', retryAfterSeconds, detail });
      return;
    }
    readRequestBody(this.message, bodyLimits, (body, fault) => {
      if (body !== undefined) this.send(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else {
        const detail = 'The request body was not taken.';
        this.refuse({
          reason: fault,
          verdict: 'not-run',
          retryAfterSeconds: NO_RETRY_AFTER,
          detail,
        });
      }
    });
  }

  /** The context of a call that cannot be tied to an inbound call: served, but never retried. */
  private unattributedContext(): CallContext {
    const kind = this.table.matchKind(this.message.method ?? '', this.path);
    return {
      requestId: newTraceId(),
      group: UNATTRIBUTED_GROUP,
      kind: kind?.name ?? UNKNOWN_KIND,
      importance: kind?.importance ?? LOWEST_IMPORTANCE,
      deadlineAt: this.options.clock.now() + (kind?.deadlineMs ?? DEFAULT_DEADLINE_MS),
      retries: 0,
    };
  }

  private send(body: RequestBody): void {
    const { router, transport } = this.options;
    const { context, inbound } = this;
    const kind = this.table.kind(context.kind);
    this.beginNested();
    const call = router.call(
      this.service,
      {
        trafficClass: `${this.service}/${context.kind}/${context.group}`,
        repeatable: this.table.isRepeatable(this.service, this.message.method ?? '', this.path),
        deadlineAt: context.deadlineAt,
        retryRatio: kind?.retryRatio ?? DEFAULT_RETRY_RATIO,
        allowance: inbound?.allowance ?? new RetryAllowance(0),
      },
      new NodeTransport(transport, context, this.message, body, this.response),
      (result) => this.onResult(result),
    );
    this.response.once('close', () => {
      if (this.response.writableFinished) return;
      this.options.stats.kind(context.kind).cancelled += 1;
      this.endNested(false);
      call.cancel();
    });
  }

  private onResult(result: OutboundResult): void {
    const stats = this.options.stats.kind(this.context.kind);
    const overloaded = result.type !== 'broken' && result.overloaded;
    this.endNested(overloaded);
    if (result.type === 'refused') {
      this.refuse(result.refusal);
      return;
    }
    if (result.type === 'broken') {
      stats.broken += 1;
      this.response.destroy();
      return;
    }
    stats.relayed += 1;
  }

  private beginNested(): void {
    this.nestedActive = true;
    this.inbound?.onNestedStart();
  }

  private endNested(overloaded: boolean): void {
    if (!this.nestedActive) return;
    this.nestedActive = false;
    this.inbound?.onNestedEnd(overloaded);
  }

  private refuse(refusal: Refusal): void {
    this.options.stats.kind(this.context.kind).onRefused(refusal.reason);
    writeRefusal(this.response, refusal, this.context.requestId);
  }
}
