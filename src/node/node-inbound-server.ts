/**
 * The inbound server of a node: receives calls from edges and other nodes for the local target. A call context is only
 * trusted if the request carries the link token.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createBodyRefusal,
  CallerExchange,
  type BodyRefusalReason,
} from '../http/caller-exchange.js';
import type { BodyLimits, RequestBody } from '../http/request-body.js';
import type { ClaimMessage, ClaimReply } from '../dedup/claim-messages.js';
import { handleClaimMessage, CLAIM_MESSAGE, MESSAGE_HEADER } from '../http/claim-transport.js';
import type { TargetAnnouncement } from '../http/target-announcement.js';
import type { TargetPool } from '../http/target-pool.js';
import { HttpTargetTransport } from '../http/target-transport.js';
import { LOWEST_IMPORTANCE } from '../policy/importance.js';
import { EMPTY_POLICY_TABLE, type PolicyTable } from '../policy/policy-table.js';
import { CONTEXT_HEADER, LINK_HEADER, OUTCOME_HEADER, parseContext } from '../call/call-context.js';
import type { CallContext } from '../call/call-context.js';
import type { CallStats } from '../call/call-stats.js';
import { NODE_CALL_HOOKS } from '../gate/call-hooks.js';
import { InboundCall } from '../gate/inbound-call.js';
import type { InboundResult, InboundServices } from '../gate/inbound-services.js';
import type { InboundRegistry } from '../gate/inbound-registry.js';
import { formatOutcome, notStartedOutcome, type Outcome } from '../call/outcome.js';
import type { Refusal } from '../call/refusal.js';
import { requestPath } from '../call/request-target.js';
import { newSpanId, newTraceId, parseTraceParent } from '../call/trace-parent.js';
import { isSameToken } from '../http/link-token.js';

/** Options of {@link NodeInboundServer}. */
export interface InboundServerOptions {
  readonly service: string;
  readonly services: InboundServices;
  readonly registry: InboundRegistry;
  readonly targetPool: TargetPool;
  /**
   * Called with what the target announces in an answer.
   * @param sentAt when the request was sent, in monotonic milliseconds
   */
  readonly onAnnouncement: (sentAt: number, announcement: TargetAnnouncement) => void;
  readonly linkToken: string;
  readonly bodyLimits: BodyLimits;
  readonly stats: CallStats;
  readonly table: () => PolicyTable | undefined;
  /** Handles a claim message from another node. */
  readonly onClaimMessage: (message: ClaimMessage) => ClaimReply;
}

/** Group of calls without a trusted context. */
export const UNATTRIBUTED_GROUP = 'unattributed';
/** Kind of calls that do not match a declared kind. */
export const UNKNOWN_KIND = 'unknown';

/** Deadline of calls without a declared kind, relative to their arrival. */
const DEFAULT_DEADLINE_MS = 2_000;
const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Maximum number of characters of a key. Longer ones are not claimed, since three nodes store each key. */
const MAX_KEY_LENGTH = 256;

export class NodeInboundServer {
  constructor(private readonly options: InboundServerOptions) {}

  /** Handles a call or a claim message. */
  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    if (message.headers[MESSAGE_HEADER] === CLAIM_MESSAGE && this.hasLinkToken(message)) {
      void handleClaimMessage(message, response, this.options.onClaimMessage);
      return;
    }
    const context = this.parseTrustedContext(message) ?? this.createUntrustedContext(message);
    const exchange = new InboundExchange(this.options, message, response, context);
    exchange.start();
  };

  /** Returns the context sent by another shoredoor process, or undefined if there is none or it is not trusted. */
  private parseTrustedContext(message: IncomingMessage): CallContext | undefined {
    const text = message.headers[CONTEXT_HEADER];
    if (typeof text !== 'string' || !this.hasLinkToken(message)) return undefined;
    const trace = parseTraceParent(message.headers.traceparent as string | undefined);
    if (trace === undefined) return undefined;
    return parseContext(text, trace.traceId, this.options.services.clock.now());
  }

  private hasLinkToken(message: IncomingMessage): boolean {
    const token = message.headers[LINK_HEADER];
    return typeof token === 'string' && isSameToken(token, this.options.linkToken);
  }

  /** Creates the context of a call without a trusted one: lowest importance, no group, no retries. */
  private createUntrustedContext(message: IncomingMessage): CallContext {
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

/** One inbound call in flight. */
class InboundExchange extends CallerExchange {
  private readonly spanId = newSpanId();
  private readonly startedAt: number;
  private call: InboundCall | undefined;

  constructor(
    private readonly options: InboundServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
    private readonly context: CallContext,
  ) {
    super(message, response, options.stats, context.kind);
    this.startedAt = options.services.clock.now();
  }

  start(): void {
    this.begin();
    this.readBody(this.options.bodyLimits);
  }

  protected override onBodyRefused(reason: BodyRefusalReason): void {
    this.refuse(createBodyRefusal(reason), notStartedOutcome(reason, this.context.retries));
  }

  protected override onBody(body: RequestBody): void {
    const { services, targetPool, registry, onAnnouncement } = this.options;
    const transport: HttpTargetTransport = new HttpTargetTransport(
      services.clock,
      targetPool.dispatcher,
      {
        context: this.context,
        spanId: this.spanId,
        message: this.message,
        body,
        response: this.response,
        onAnnouncement,
        isCutOff: () => targetPool.isResetting,
        takeOutcome: (): Outcome => call.takeOutcome('ran', undefined),
      },
    );
    const call: InboundCall = new InboundCall(
      this.context,
      this.getClaimKey(),
      services,
      transport,
      (result) => this.onResult(call, result),
      NODE_CALL_HOOKS,
    );
    this.call = call;
    registry.add(this.spanId, call);
    call.start();
  }

  protected override onClosed(isAnswered: boolean): void {
    if (this.call === undefined) return;
    this.options.registry.remove(this.spanId, this.call);
    if (isAnswered) return;
    this.countCancelled();
    this.call.cancel();
  }

  /** Returns the deduplication key of a call that must not run twice, or undefined if no claim is needed. */
  private getClaimKey(): string | undefined {
    const key = this.message.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_LENGTH) return undefined;
    const method = this.message.method ?? '';
    const path = requestPath(this.message.url) ?? '';
    const table = this.options.table() ?? EMPTY_POLICY_TABLE;
    if (table.isRepeatable(this.options.service, method, path)) return undefined;
    return [this.options.service, this.context.group, method, path, key].join('\n');
  }

  private onResult(call: InboundCall, result: InboundResult): void {
    switch (result.type) {
      case 'refused': {
        const { refusal } = result;
        this.refuse(refusal, call.takeOutcome(refusal.verdict, refusal.reason));
        return;
      }
      case 'broken':
        this.abortResponse(this.context.requestId);
        return;
      case 'relayed':
        this.countRelayed(this.options.services.clock.now() - this.startedAt);
    }
  }

  private refuse(refusal: Refusal, outcome: Outcome): void {
    const headers = [OUTCOME_HEADER, formatOutcome(outcome)];
    this.writeRefusal(refusal, this.context.requestId, headers);
  }
}
