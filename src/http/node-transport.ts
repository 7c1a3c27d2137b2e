/**
 * Sends the attempts of one call to nodes over HTTP, for edges and for the outbound side of nodes. Adds the headers with the
 * call context, the trace context and the link token.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../common/clock.js';
import {
  CONTEXT_HEADER,
  formatContext,
  LINK_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  type CallContext,
} from '../call/call-context.js';
import { parseOutcome } from '../call/outcome.js';
import { formatTraceParent, newSpanId } from '../call/trace-parent.js';
import type {
  Attempt,
  AttemptMetadata,
  AttemptListener,
  OutboundTransport,
} from '../call/transport.js';
import type { EndpointRecord } from '../call/endpoint.js';
import type { ConnectionPools } from './connection-pools.js';
import type { RawHeaders } from './header-filter.js';
import { DeferredResponse } from './deferred-response.js';
import { RelayHandler, type RelayPolicy } from './relay-handler.js';
import { filterRequestHeaders, forwardRequest } from './forward-request.js';
import type { RequestBody } from './request-body.js';

/** Options shared by all transports of a process. */
export interface NodeTransportOptions {
  readonly clock: Clock;
  readonly pools: ConnectionPools;
  readonly linkToken: string;
}

export class NodeTransport implements OutboundTransport {
  private readonly baseHeaders: RawHeaders;

  constructor(
    private readonly options: NodeTransportOptions,
    private readonly context: CallContext,
    private readonly message: IncomingMessage,
    private readonly body: RequestBody,
    private readonly response: ServerResponse,
  ) {
    this.baseHeaders = filterRequestHeaders(message);
  }

  get replayable(): boolean {
    return this.body.replayable;
  }

  send(endpoint: EndpointRecord, envelope: AttemptMetadata, listener: AttemptListener): Attempt {
    const { clock, pools, linkToken } = this.options;
    const { message, body } = this;
    const context = { ...this.context, retries: envelope.retries };
    const traceParent = { traceId: context.requestId, spanId: newSpanId() };
    const headers: RawHeaders = [
      ...this.baseHeaders,
      'traceparent',
      formatTraceParent(traceParent),
      CONTEXT_HEADER,
      formatContext(context, clock.now()),
      LINK_HEADER,
      linkToken,
    ];
    const handler = new RelayHandler(
      new DeferredResponse(this.response),
      this.createRelayPolicy(),
      listener,
    );
    return forwardRequest(pools.get(endpoint.origin), { message, body, headers }, handler);
  }

  private createRelayPolicy(): RelayPolicy {
    return {
      readHead: (status, headers) => {
        const text = headers[OUTCOME_HEADER];
        return { status, outcome: parseOutcome(Array.isArray(text) ? text[0] : text) };
      },
      extraHeaders: () => [REQUEST_ID_HEADER, this.context.requestId],
    };
  }
}
