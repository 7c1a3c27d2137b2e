/** The inbound side of a node: takes calls from edges and other nodes for its one target. */
import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readRequestBody, type BodyLimits, type RequestBody } from '../http/request-body.js';
import type { ClaimMessage, ClaimReply } from '../dedup/claim-messages.js';
import { answerClaimMessage, CLAIM_MESSAGE, MESSAGE_HEADER } from '../http/claim-link.js';
import { writeRefusal } from '../http/caller-response.js';
import type { TargetPool } from '../http/target-pool.js';
import { HttpTargetTransport } from '../http/target-transport.js';
import { LOWEST_IMPORTANCE } from '../policy/importance.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import { CONTEXT_HEADER, LINK_HEADER, OUTCOME_HEADER, parseContext } from '../call/call-context.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import { NODE_CALL_RULES } from '../gate/call-rules.js';
import { InboundCall } from '../gate/inbound-call.js';
import type { InboundResult, InboundServices } from '../gate/inbound-services.js';
import type { InboundRegistry } from '../gate/inbound-registry.js';
import { formatOutcome, unbegunOutcome, type Outcome } from '../call/outcome.js';
import type { Refusal } from '../call/refusal.js';
import { requestPath } from '../call/request-target.js';
import { newSpanId, newTraceId, parseTraceParent } from '../call/trace-parent.js';
import { NO_RETRY_AFTER } from '../call/retry-after.js';

/** What the inbound side is made of. */
export interface InboundServerOptions {
  readonly service: string;
  readonly services: InboundServices;
  readonly registry: InboundRegistry;
  readonly targetPool: TargetPool;
  readonly linkToken: string;
  readonly bodyLimits: BodyLimits;
  readonly stats: CallStats;
  readonly table: () => PolicyTable | undefined;
  /** Handles a message about claims from another node. */
  readonly onClaimMessage: (message: ClaimMessage) => ClaimReply;
}

/** Group of calls that carry no trusted context. */
export const UNATTRIBUTED_GROUP = 'unattributed';
/** Kind of calls that match no declared kind. */
export const UNKNOWN_KIND = 'unknown';

const DEFAULT_DEADLINE_MS = 2_000;
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
const MAX_KEY_LENGTH = 256;

export class NodeInboundServer {
  private readonly linkToken: Buffer;

  constructor(private readonly options: InboundServerOptions) {
    this.linkToken = Buffer.from(options.linkToken);
  }

  /** Handles one call. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    if (message.headers[MESSAGE_HEADER] === CLAIM_MESSAGE && this.isLinked(message)) {
      void answerClaimMessage(message, response, this.options.onClaimMessage);
      return;
    }
    const context = this.trustedContext(message) ?? this.untrustedContext(message);
    const exchange = new InboundExchange(this.options, message, response, context);
    exchange.start();
  };

  /** The context that a shoredoor process sent, or undefined. */
  private trustedContext(message: IncomingMessage): CallContext | undefined {
    const text = message.headers[CONTEXT_HEADER];
    if (typeof text !== 'string' || !this.isLinked(message)) return undefined;
    const trace = parseTraceParent(message.headers.traceparent as string | undefined);
    if (trace === undefined) return undefined;
    return parseContext(text, trace.traceId, this.options.services.clock.now());
  }

  private isLinked(message: IncomingMessage): boolean {
    const token = message.headers[LINK_HEADER];
    if (typeof token !== 'string') return false;
    const presented = Buffer.from(token);
    if (presented.length !== this.linkToken.length) return false;
    return timingSafeEqual(presented, this.linkToken);
  }

  /** The context of a call from outside: least importance, no group, no retries. */
  private untrustedContext(message: IncomingMessage): CallContext {
    const table = this.options.table() ?? EMPTY_POLICY_TABLE;
    const path = requestPath(message.url);
    const kind = path === undefined ? undefined : table.matchKind(message.method ?? '', path);
    return {
      requestId: newTraceId(),
      group: UNATTRIBUTED_GROUP,
      kind: kind?.name ?? UNKNOWN_KIND,
      importance: LOWEST_IMPORTANCE,
      deadlineAt: this.options.services.clock.now() + (kind?.deadlineMs ?? DEFAULT_DEADLINE_MS),
      retries: 0,
    };
  }
}

/** One call under way through the node. */
class InboundExchange {
  private readonly spanId = newSpanId();
  private readonly startedAt: number;
  private call: InboundCall | undefined;

  constructor(
    private readonly options: InboundServerOptions,
    private readonly message: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly context: CallContext,
  ) {
    this.startedAt = options.services.clock.now();
  }

  start(): void {
    const { stats, bodyLimits } = this.options;
    stats.onStart();
    this.response.once('close', () => this.onClose());
    readRequestBody(this.message, bodyLimits, (body, fault) => {
      if (body !== undefined) this.run(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else this.refuseBody(fault);
    });
  }

  private run(body: RequestBody): void {
    const { services, targetPool, registry } = this.options;
    const transport: HttpTargetTransport = new HttpTargetTransport(
      services.clock,
      targetPool.dispatcher,
      {
        context: this.context,
        spanId: this.spanId,
        message: this.message,
        body,
        response: this.response,
        takeOutcome: (): Outcome => call.takeOutcome('ran', undefined),
      },
    );
    const call: InboundCall = new InboundCall(
      this.context,
      this.claimKey(),
      services,
      transport,
      (result) => this.onResult(call, result),
      NODE_CALL_RULES,
    );
    this.call = call;
    registry.add(this.spanId, call);
    call.start();
  }

  /** The key to claim for a call that may run at most once. */
  private claimKey(): string | undefined {
    const key = this.message.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) return undefined;
    const method = this.message.method ?? '';
    const path = requestPath(this.message.url) ?? '';
    const table = this.options.table() ?? EMPTY_POLICY_TABLE;
    if (table.isRepeatable(this.options.service, method, path)) return undefined;
    return [this.options.service, this.context.group, method, path, key].join('\n');
  }

  private onClose(): void {
    this.options.stats.onFinish();
    if (this.call === undefined) return;
    this.options.registry.remove(this.spanId, this.call);
    if (this.response.writableFinished) return;
    this.options.stats.kind(this.context.kind).cancelled += 1;
    this.call.cancel();
  }

  private onResult(call: InboundCall, result: InboundResult): void {
    const stats = this.options.stats.kind(this.context.kind);
    if (result.type === 'refused') {
      const { refusal } = result;
      this.refuse(refusal, call.takeOutcome(refusal.verdict, refusal.reason));
      return;
    }
    if (result.type === 'broken') {
      stats.broken += 1;
      this.response.destroy();
      return;
    }
    stats.relayed += 1;
    stats.onLatency(this.options.services.clock.now() - this.startedAt);
  }

  private refuseBody(reason: 'too-large' | 'request-timeout'): void {
    const detail = 'The request body was not taken.';
    const outcome = unbegunOutcome(reason, this.context.retries);
    this.refuse({ reason, verdict: 'not-run', retryAfterSeconds: NO_RETRY_AFTER, detail }, outcome);
  }

  private refuse(refusal: Refusal, outcome: Outcome): void {
    this.options.stats.kind(this.context.kind).onRefused(refusal.reason);
    writeRefusal(this.response, refusal, this.context.requestId, [
      OUTCOME_HEADER,
      formatOutcome(outcome),
    ]);
  }
}
