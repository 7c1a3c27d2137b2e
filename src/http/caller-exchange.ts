/**
 * One request of a caller, from its head to the end of its response: what the edge, the ingress and both sides of a node do
 * alike. Each of them derives its exchange from {@link CallerExchange} and adds what is sent on, and where.
 *
 * Owns the counts of the request in {@link CallStats} and what is written to the response where no target answers. Relies
 * on the transport of the call to write the answers of targets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallStats } from '../call/call-stats.js';
import type { Refusal } from '../call/refusal.js';
import { NO_RETRY_AFTER } from '../call/retry-after.js';
import { writeRefusal } from './caller-response.js';
import type { RawHeaders } from './header-filter.js';
import {
  readRequestBody,
  type BodyFault,
  type BodyLimits,
  type RequestBody,
} from './request-body.js';

/** Why a body was not taken while its caller waits for an answer. */
export type BodyRefusalReason = Exclude<BodyFault, 'caller-gone'>;

/** The refusal for a body that was not taken. Nothing of the request was sent on. */
export function bodyNotTaken(
  reason: BodyRefusalReason,
  detail = 'The request body was not taken.',
): Refusal {
  return { reason, verdict: 'not-run', retryAfterSeconds: NO_RETRY_AFTER, detail };
}

export abstract class CallerExchange {
  /** @param statsName name in the stats: of the route at an ingress, of the kind elsewhere */
  protected constructor(
    protected readonly message: IncomingMessage,
    protected readonly response: ServerResponse,
    private readonly stats: CallStats,
    private readonly statsName: string,
  ) {}

  /** The body has arrived, as far as it is held in memory. */
  protected abstract onBody(body: RequestBody): void;

  protected abstract onBodyRefused(reason: BodyRefusalReason): void;

  /**
   * The response is closed; nothing more can be told to the caller.
   * @param isAnswered whether all that there was to tell was written; otherwise the caller has left, or was cut off
   */
  protected abstract onClosed(isAnswered: boolean): void;

  /** The request counts as under way until its response is closed. */
  protected begin(): void {
    this.stats.onStart();
    this.response.once('close', () => {
      this.stats.onFinish();
      this.onClosed(this.response.writableFinished);
    });
  }

  /** Reads the body; nothing is told of a caller who leaves meanwhile. */
  protected readBody(limits: BodyLimits): void {
    readRequestBody(this.message, limits, (body, fault) => {
      if (body !== undefined) this.onBody(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else this.onBodyRefused(fault);
    });
  }

  /** The caller left before its answer was whole. */
  protected countCancelled(): void {
    this.stats.kind(this.statsName).cancelled += 1;
  }

  /** A whole answer was passed on. @param durationMs milliseconds since the request arrived; undefined where not measured */
  protected countRelayed(durationMs: number | undefined): void {
    const counts = this.stats.kind(this.statsName);
    counts.relayed += 1;
    if (durationMs !== undefined) counts.onLatency(durationMs);
  }

  /** An answer had begun and broke off: the caller must not take it for whole. */
  protected breakOff(): void {
    this.stats.kind(this.statsName).broken += 1;
    this.response.destroy();
  }

  protected writeRefusal(refusal: Refusal, requestId: string, extraHeaders?: RawHeaders): void {
    this.stats.kind(this.statsName).onRefused(refusal.reason);
    writeRefusal(this.response, refusal, requestId, extraHeaders);
  }
}
