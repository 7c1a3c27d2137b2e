/**
 * Base class for one request of a caller, from its head to the end of its response. Edge, ingress and both sides of a node
 * extend it. Counts the request in {@link CallStats}, reads its body and writes refusals.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallStats } from '../call/call-stats.js';
import type { Refusal } from '../call/refusal.js';
import { NO_RETRY_AFTER } from '../call/retry-after.js';
import { writeRefusal } from './caller-response.js';
import type { RawHeaders } from './header-filter.js';
import {
  discardBody,
  readRequestBody,
  type BodyFault,
  type BodyLimits,
  type RequestBody,
} from './request-body.js';

/** Why a request body was refused while the caller is still connected. */
export type BodyRefusalReason = Exclude<BodyFault, 'caller-gone'>;

/** Creates the refusal for a request body that was not accepted. Nothing of the request was forwarded. */
export function createBodyRefusal(
  reason: BodyRefusalReason,
  detail = 'The request body was not taken.',
): Refusal {
  return { reason, verdict: 'not-run', retryAfterSeconds: NO_RETRY_AFTER, detail };
}

/** The refusal for a request whose answer broke off before the first byte of its body. */
const BROKEN_ANSWER: Refusal = {
  reason: 'broken-answer',
  verdict: 'ran',
  retryAfterSeconds: NO_RETRY_AFTER,
  detail: 'The answer of the target broke off.',
};

export abstract class CallerExchange {
  /** The request body, once it is read. */
  private body: RequestBody | undefined;

  /** @param statsName key in {@link CallStats}: the name of the route at an ingress, of the kind elsewhere */
  protected constructor(
    protected readonly message: IncomingMessage,
    protected readonly response: ServerResponse,
    private readonly stats: CallStats,
    private readonly statsName: string,
  ) {}

  /** Called when the body is complete, or when its first `bufferBytes` have arrived. */
  protected abstract onBody(body: RequestBody): void;

  protected abstract onBodyRefused(reason: BodyRefusalReason): void;

  /**
   * Called when the response is closed.
   * @param isAnswered whether the whole response was written; otherwise the caller disconnected or the response was aborted
   */
  protected abstract onClosed(isAnswered: boolean): void;

  /** Counts the request as in flight until its response is closed. */
  protected begin(): void {
    this.stats.onStart();
    this.response.once('close', () => {
      this.stats.onFinish();
      this.onClosed(this.response.writableFinished);
      if (this.body !== undefined) discardBody(this.body);
    });
  }

  /** Reads the body. Calls neither hook if the caller disconnects meanwhile. */
  protected readBody(limits: BodyLimits): void {
    readRequestBody(this.message, limits, (body, fault) => {
      this.body = body;
      if (body !== undefined) this.onBody(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else this.onBodyRefused(fault);
    });
  }

  /** Counts a request whose caller disconnected before the response was complete. */
  protected countCancelled(): void {
    this.stats.statsFor(this.statsName).cancelled += 1;
  }

  /**
   * Counts a completely relayed answer.
   * @param durationMs milliseconds since the request arrived; undefined to record no latency
   */
  protected countRelayed(durationMs: number | undefined): void {
    const counts = this.stats.statsFor(this.statsName);
    counts.relayed += 1;
    if (durationMs !== undefined) counts.onLatency(durationMs);
  }

  /**
   * Ends a request whose answer broke off: aborts the response if it has begun, so that the caller does not treat it as
   * complete; otherwise refuses the request.
   */
  protected abortResponse(requestId: string): void {
    this.stats.statsFor(this.statsName).broken += 1;
    writeRefusal(this.response, BROKEN_ANSWER, requestId);
  }

  protected writeRefusal(refusal: Refusal, requestId: string, extraHeaders?: RawHeaders): void {
    this.stats.statsFor(this.statsName).onRefused(refusal.reason);
    writeRefusal(this.response, refusal, requestId, extraHeaders);
  }
}
