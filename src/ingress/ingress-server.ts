/**
 * The outbound side of a sidecar: accepts requests of clients and of the target on its machine, applies the rules of
 * `ingress-rules.ts` to their heads, and starts an {@link IngressExchange} for each accepted request.
 */
import { ClientWaitEstimator } from './client-wait-estimator.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CallDurations } from '../call/call-durations.js';
import type { Refusal } from '../call/refusal.js';
import type { IngressRecord } from '../call/request-log.js';
import { headerSeconds } from '../call/retry-after.js';
import { StopPhase } from '../call/stop-phase.js';
import { HttpStatus } from '../common/http-status.js';
import { writeRefusal } from '../http/caller-response.js';
import { closeAfterResponse, isBehindLastResponse } from '../http/closing-connections.js';
import { headerValue } from '../http/target-headers.js';
import type { PolicyTable } from '../policy/policy-table.js';
import {
  IngressExchange,
  type IngressExchangeOptions,
  type IngressRequest,
} from './ingress-exchange.js';
import { decideOnHead, type HeadDecision } from './ingress-rules.js';

export interface IngressServerOptions extends IngressExchangeOptions {
  /** Maximum number of requests in flight; further ones are refused to bound memory. */
  readonly maxInFlight: number;
  /** The policy table in force; undefined until the first revision is received. */
  readonly table: () => PolicyTable | undefined;
  /** Milliseconds since control confirmed that no key of the table was revoked. */
  readonly proofAgeMs: () => number;
  /** Largest value of `proofAgeMs` at which requests with keys are accepted; Infinity for no limit. */
  readonly maxProofAgeMs: number;
}

/** Name under which requests without a known route are counted. */
const UNMATCHED = 'unmatched';

export class IngressServer {
  private readonly activeExchanges = new Set<IngressExchange>();
  private readonly durations = new CallDurations();
  private readonly clientWaits = new ClientWaitEstimator();

  constructor(private readonly options: IngressServerOptions) {}

  /** Log records of the requests in flight. */
  getInFlightRecords(): IngressRecord[] {
    return [...this.activeExchanges].map((exchange) => exchange.record());
  }

  readonly handle = (message: IncomingMessage, response: ServerResponse): void => {
    if (isBehindLastResponse(message)) return;
    response.sendDate = false;
    if (this.options.stop.phase !== StopPhase.Running) closeAfterResponse(response);
    const decision = this.decide(message);
    switch (decision.type) {
      case 'refused':
        this.refuse(message, response, decision.refusal);
        return;
      case 'headers-too-large':
        refuseLargeHeaders(response);
        return;
      case 'begin': {
        const { route, group, revision } = decision;
        this.begin({ message, response, route, group, revision });
      }
    }
  };

  /** Ends all requests in flight with a final answer because the process is about to exit. */
  endWithProcess(): void {
    for (const exchange of [...this.activeExchanges]) exchange.endWithProcess();
  }

  private decide({ url, headers, rawHeaders }: IncomingMessage): HeadDecision {
    const { table, stop, stats, nestedRoutes, random, transport } = this.options;
    const { maxInFlight, proofAgeMs, maxProofAgeMs } = this.options;
    const apiKey = headerValue(headers, transport.names.apiKey);
    return decideOnHead(
      { host: headers.host, url: url ?? '', rawHeaders, apiKey },
      {
        table: table(),
        stop,
        durations: this.durations,
        nestedRoutes,
        inFlight: stats.inFlight,
        maxInFlight,
        proofAgeMs,
        maxProofAgeMs,
        random,
      },
    );
  }

  private begin(request: IngressRequest): void {
    const { options, durations, clientWaits } = this;
    const exchange = new IngressExchange(options, { durations, clientWaits }, request);
    this.activeExchanges.add(exchange);
    exchange.start(() => this.activeExchanges.delete(exchange));
  }

  private refuse(message: IncomingMessage, response: ServerResponse, refusal: Refusal): void {
    const { transport, stats, journal, fractionalRetryAfter } = this.options;
    const requestId = headerValue(message.headers, transport.names.requestId) ?? '';
    const retryAfterSeconds = headerSeconds(refusal.retryAfterSeconds, fractionalRetryAfter);
    stats.statsFor(UNMATCHED).onRefused(refusal.reason);
    journal.onRefusedEarly(requestId, refusal);
    writeRefusal(response, { ...refusal, retryAfterSeconds }, requestId);
  }
}

function refuseLargeHeaders(response: ServerResponse): void {
  closeAfterResponse(response);
  response.writeHead(HttpStatus.HeadersTooLarge, { 'Content-Length': 0, Connection: 'close' });
  response.end();
}
