/**
 * Sends one call from a node to its target over HTTP. The caller must cancel the attempt at its deadline, as the connection
 * has no timeout.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type { Clock } from '../common/clock.js';
import { DEADLINE_HEADER, OUTCOME_HEADER, type CallContext } from '../call/call-context.js';
import { formatOutcome, type Outcome } from '../call/outcome.js';
import { formatTraceParent } from '../call/trace-parent.js';
import type { Attempt, AttemptListener, TargetTransport } from '../call/transport.js';
import { RelayHandler } from './relay-handler.js';
import { ResponseSink } from './response-sink.js';
import { filterRequestHeaders, forwardRequest } from './forward-request.js';
import type { RequestBody } from './request-body.js';
import { readAnnouncement, type TargetAnnouncement } from './target-announcement.js';
import { DEFAULT_TARGET_HEADERS } from './target-headers.js';

export interface TargetRequest {
  readonly context: CallContext;
  /** Span id of this call in the trace context. */
  readonly spanId: string;
  readonly message: IncomingMessage;
  readonly body: RequestBody;
  readonly response: ServerResponse;
  /**
   * Called with what the target announces in its answer.
   * @param sentAt when the request was sent, in monotonic milliseconds
   */
  readonly onAnnouncement: (sentAt: number, announcement: TargetAnnouncement) => void;
  /** Whether an answer that ends now was cut off by a connection reset. Default: never. */
  readonly isCutOff?: () => boolean;
  /** Returns the outcome to send with the answer. Called at most once. */
  readonly takeOutcome: () => Outcome;
}

export class HttpTargetTransport implements TargetTransport {
  constructor(
    private readonly clock: Clock,
    private readonly pool: Dispatcher,
    private readonly request: TargetRequest,
  ) {}

  send(listener: AttemptListener): Attempt {
    const { context, spanId, message, body, response } = this.request;
    const { takeOutcome, onAnnouncement, isCutOff = (): boolean => false } = this.request;
    const sentAt = this.clock.now();
    const headers = filterRequestHeaders(message);
    const remainingMs = Math.max(0, Math.floor(context.deadlineAt - this.clock.now()));
    headers.push(
      'traceparent',
      formatTraceParent({ traceId: context.requestId, spanId }),
      DEADLINE_HEADER,
      String(remainingMs),
    );
    const handler = new RelayHandler(
      new ResponseSink(response),
      {
        onResponse: (_status, answerHeaders) =>
          onAnnouncement(sentAt, readAnnouncement(DEFAULT_TARGET_HEADERS, answerHeaders)),
        readHead: (status) => ({ status, outcome: undefined }),
        isCutOff,
        extraHeaders: () => [OUTCOME_HEADER, formatOutcome(takeOutcome())],
      },
      listener,
    );
    return forwardRequest(this.pool, { message, body, headers }, handler);
  }
}
