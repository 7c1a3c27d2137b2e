/**
 * One request in flight at the ingress: creates its context, reads its body, acquires its permit and starts its call, or
 * refuses it. The decisions are made by `ingress-rules.ts`; the outgoing call writes the answers of targets.
 */
import type { ClientWaitEstimator } from './client-wait-estimator.js';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallContext } from '../call/call-context.js';
import type { CallDurations } from '../call/call-durations.js';
import type { CallStats } from '../call/call-stats.js';
import type { Refusal } from '../call/refusal.js';
import type { IngressRecord, RequestLog } from '../call/request-log.js';
import { clientRetryAfterSeconds, headerSeconds } from '../call/retry-after.js';
import type { StopProgress } from '../call/stop-phase.js';
import { limitDeadlineToStop } from '../call/stop-policy.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { CallerExchange, type BodyRefusalReason } from '../http/caller-exchange.js';
import { closeAfterResponse } from '../http/closing-connections.js';
import type { BodyLimits, RequestBody } from '../http/request-body.js';
import { parseDeadlineMs, headerValue } from '../http/target-headers.js';
import { PeerTransport, type PeerTransportOptions } from '../link/peer-transport.js';
import type { OutboundCall } from '../outbound/outbound-call.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import type { Group } from '../policy/group-table.js';
import type { Route } from '../policy/route-table.js';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import type { IngressQuota, QuotaPermit } from '../quota/ingress-quota.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { WeightedSplit } from '../routing/weighted-split.js';
import type { NoRoom } from './first-hop-room.js';
import { createIngressContext, createOutboundRequest } from './ingress-context.js';
import { abortedByStop, decideOnBody, decideOnSending, rateLimited } from './ingress-rules.js';
import { recordResult, type ResultObservers } from './result-observers.js';

/** Services and settings that the exchanges of one ingress share. */
export interface IngressExchangeOptions extends ResultObservers {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: OutboundRouter;
  readonly split: WeightedSplit;
  readonly transport: PeerTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: () => BodyLimits;
  /** Progress of a planned stop. Once it has begun, responses close their connections. */
  readonly stop: StopProgress;
  readonly journal: RequestLog;
  /** Runs of the target that are repeats; the calls that they make count as repeats downstream. */
  readonly repeatedRuns: RepeatedRuns;
  /** Whether `Retry-After` may contain fractions of a second; RFC 9110 allows whole seconds only. */
  readonly fractionalRetryAfter: boolean;
  /** Whether the request with this fingerprint is quarantined. */
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** Limits the requests of groups that have a rate. */
  readonly quota: IngressQuota;
}

/** A request that passed the rules on its head. */
export interface IngressRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  /** Group of the API key; undefined if the route needs none. */
  readonly group: Group | undefined;
  /** Revision of the configuration that was applied. */
  readonly revision: number;
}

/** Statistics by route, collected from the requests of the ingress. */
export interface RouteStatistics {
  /** Durations of answered requests. */
  readonly durations: CallDurations;
  /** Timeouts of clients, to estimate how long they have waited before. */
  readonly clientWaits: ClientWaitEstimator;
}

export class IngressExchange extends CallerExchange {
  private readonly startedAt: number;
  private readonly service: string;
  private readonly route: Route;
  private context: CallContext;
  private call: OutboundCall | undefined;
  private permit: QuotaPermit | undefined;
  private hasEnded = false;
  private onEnd: (() => void) | undefined;

  constructor(
    private readonly options: IngressExchangeOptions,
    private readonly statistics: RouteStatistics,
    private readonly request: IngressRequest,
  ) {
    super(request.message, request.response, options.stats, request.route.name);
    this.route = request.route;
    this.startedAt = options.clock.now();
    this.service = options.split.next(this.route);
    this.context = this.createContext();
  }

  /** @param onEnd called once, when the exchange has ended */
  start(onEnd: () => void): void {
    this.onEnd = onEnd;
    this.begin();
    this.readBody(this.options.bodyLimits());
  }

  /** Ends the request with a final answer because the process is about to exit. */
  endWithProcess(): void {
    if (this.call !== undefined) this.call.endWithProcess();
    else if (!this.response.headersSent) this.refuse(abortedByStop().refusal);
  }

  /** Current state of the request, for log lines. */
  record(): IngressRecord {
    return {
      requestId: this.context.requestId,
      route: this.route.name,
      service: this.service,
      revision: this.request.revision,
      heldMs: Math.round(this.options.clock.now() - this.startedAt),
      attempts: this.call?.attemptedEndpointIds ?? [],
      fingerprint: this.context.fingerprint,
    };
  }

  protected override onBodyRefused(reason: BodyRefusalReason): void {
    // Otherwise the rest of the body would be parsed as the next request.
    closeAfterResponse(this.response);
    this.refuse(decideOnBody(reason).refusal);
  }

  protected override onBody(body: RequestBody): void {
    // The request was already refused with verdict `not-run`, so it must not be sent any more.
    if (this.response.headersSent) return;
    const fingerprint = this.fingerprint(body);
    const { route, group } = this.request;
    const isQuarantined = this.options.isQuarantined(fingerprint);
    const decision = decideOnSending({
      route,
      group,
      isQuarantined,
      findNoRoom: () => this.findNoRoom(),
    });
    if (decision.type === 'refused') {
      this.refuse(decision.refusal);
      return;
    }
    this.context = { ...this.context, fingerprint };
    if (decision.type === 'send') this.send(body);
    else this.acquirePermit(decision.group, decision.maxWaitMs, body);
  }

  protected override onClosed(isAnswered: boolean): void {
    this.onEnd?.();
    this.hasEnded = true;
    if (isAnswered) return;
    this.countCancelled();
    this.call?.cancel();
  }

  private createContext(): CallContext {
    const { message, route, service, startedAt } = this;
    const { nestedRoutes, repeatedRuns, stop, transport } = this.options;
    const { names } = transport;
    const clientTimeoutMs = parseDeadlineMs(names, message.headers);
    const context = createIngressContext(route, {
      requestId: headerValue(message.headers, names.requestId) ?? '',
      service,
      clientTimeoutMs,
      clientWaitedMs: this.statistics.clientWaits.estimateWaitedMs(route.name, clientTimeoutMs),
      arrivedAt: startedAt,
      group: this.request.group,
      inheritedShare: nestedRoutes.has(route.name) ? repeatedRuns.estimateRepeatShare() : 0,
    });
    return limitDeadlineToStop(context, stop);
  }

  private acquirePermit(group: Group, maxWaitMs: number, body: RequestBody): void {
    const { quota } = this.options;
    const { importance } = this.context;
    quota.acquire({ group, importance, maxWaitMs }, (permit) => {
      if (this.hasEnded || this.response.headersSent) {
        permit?.release();
        return;
      }
      this.permit = permit;
      if (permit !== undefined) this.send(body);
      else this.refuse(rateLimited(group, quota.state(group.name, importance)).refusal);
    });
  }

  private send(body: RequestBody): void {
    const { router, transport, nestedRoutes, bottlenecks } = this.options;
    const { context, route, service, message, response } = this;
    const groupName = this.request.group?.name;
    if (nestedRoutes.has(route.name)) bottlenecks?.onNestedCall(route.name);
    this.call = router.call(
      service,
      createOutboundRequest(route, context, nestedRoutes.has(route.name)),
      new PeerTransport(transport, context, message, body, response, groupName),
      (result) => this.onResult(result),
    );
  }

  /** Why a client's request has no room downstream; undefined if it has. Nested calls are sent in any case. */
  private findNoRoom(): NoRoom | undefined {
    const { nestedRoutes, room } = this.options;
    const { name: route, importance } = this.route;
    if (nestedRoutes.has(route)) return undefined;
    return room?.admit({ route, importance, clientWaitedMs: this.context.clientWaitedMs ?? 0 });
  }

  private fingerprint(body: RequestBody): string {
    const { message, service } = this;
    const isWhole = body.content === body.bufferedStart;
    return fingerprintOf({
      service,
      callingService: this.options.transport.callingService(),
      method: message.method ?? '',
      host: message.headers.host ?? '',
      path: message.url ?? '',
      streamedLength: isWhole ? undefined : message.headers['content-length'],
      bodyStart: body.bufferedStart,
    });
  }

  private onResult(result: OutboundResult): void {
    const { journal, clock } = this.options;
    if (recordResult(this.options, this.route.name, result)) {
      journal.onNestedRouteChange(this.record(), this.options.nestedRoutes.has(this.route.name));
    }
    switch (result.type) {
      case 'refused':
        if (result.refusal.verdict === 'not-run') this.permit?.release();
        this.refuse(result.refusal);
        return;
      case 'broken':
        journal.onIngressFailure(this.record(), 'broken');
        this.abortResponse(this.context.requestId);
        return;
      case 'relayed': {
        const heldMs = clock.now() - this.startedAt;
        this.countRelayed(heldMs);
        this.statistics.durations.record(this.route.name, heldMs);
      }
    }
  }

  private refuse(refusal: Refusal): void {
    const { journal, random, fractionalRetryAfter } = this.options;
    journal.onIngressFailure(this.record(), refusal);
    const seconds = clientRetryAfterSeconds(this.route.objectiveMs, refusal, random);
    const retryAfterSeconds = headerSeconds(seconds, fractionalRetryAfter);
    this.writeRefusal({ ...refusal, retryAfterSeconds }, this.context.requestId);
  }
}
