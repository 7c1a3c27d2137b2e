/** One request under way at the ingress: its body, its context, the call, and what the client is told. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CongestionLevel } from '../admission/congestion-level.js';
import type { Clock } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import { writeRefusal } from '../http/caller-response.js';
import { readRequestBody, type BodyLimits, type RequestBody } from '../http/request-body.js';
import { deadlineOf, headerValue, type TargetHeaders } from '../http/target-headers.js';
import { PeerTransport, type PeerTransportOptions } from '../link/peer-transport.js';
import type { Group } from '../policy/group-table.js';
import type { Route } from '../policy/route-table.js';
import { fingerprintOf } from '../quarantine/request-fingerprint.js';
import type { IngressQuota, QuotaPermit } from '../quota/ingress-quota.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { NestedRoutes } from '../routing/nested-routes.js';
import type { WeightedSplit } from '../routing/weighted-split.js';
import type { CallContext } from '../call/call-context.js';
import type { CallDurations } from '../call/call-durations.js';
import type { CallStats } from '../call/call-stats.js';
import { congestionOf, ingressContext, ingressRequest, quotaWaitMs } from './ingress-policy.js';
import type { OutboundCall } from '../outbound/outbound-call.js';
import type { OutboundResult } from '../outbound/outbound-request.js';
import type { OutboundRouter } from '../outbound/outbound-router.js';
import type { Refusal } from '../call/refusal.js';
import {
  clientRetryAfterSeconds,
  headerSeconds,
  NO_RETRY_AFTER,
  QUARANTINED_SECONDS,
  SOON_SECONDS,
} from '../call/retry-after.js';
import type { IngressRecord, RequestJournal } from '../call/request-journal.js';
import type { StopProgress } from '../call/stop-phase.js';
import { boundedByStop } from '../call/stop-policy.js';

/** What the exchanges of one ingress share. */
export interface IngressExchangeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: OutboundRouter;
  readonly split: WeightedSplit;
  readonly transport: PeerTransportOptions;
  readonly stats: CallStats;
  readonly bodyLimits: () => BodyLimits;
  /** Once the process is stopping, answers close their connections. */
  readonly stop: StopProgress;
  readonly journal: RequestJournal;
  /** Learns of calls of the target that are held up or refused. */
  readonly downstream: CongestionLevel;
  /** How many of the target's runs are repeats, and so the calls that it makes. */
  readonly repeatedRuns: RepeatedRuns;
  /** Learns when a service that the target calls grants no repeats. */
  readonly retryBudget: ServiceRetryBudget;
  /** Whether clients read fractions of a second in `Retry-After`; RFC 9110 knows whole ones only. */
  readonly fractionalRetryAfter: boolean;
  /** Routes whose calls are made by targets, as gates have said. */
  readonly nestedRoutes: NestedRoutes;
  /** Whether the request with this fingerprint is kept from targets. */
  readonly isQuarantined: (fingerprint: string) => boolean;
  /** Bounds the requests of groups with a limit. */
  readonly quota: IngressQuota;
}

const QUARANTINED: Refusal = {
  reason: 'quarantined',
  verdict: 'not-run',
  retryAfterSeconds: QUARANTINED_SECONDS,
  detail: 'Targets crash under the request.',
};

/** A request whose route is known. */
export interface IngressRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  /** The group whose key the client presented; undefined where none is needed. */
  readonly group: Group | undefined;
  /** Of the configuration that decided. */
  readonly revision: number;
}

/** See the module comment. */
export class IngressExchange {
  private readonly startedAt: number;
  private readonly service: string;
  private context: CallContext;
  private call: OutboundCall | undefined;
  private permit: QuotaPermit | undefined;
  private isOver = false;
  private readonly message: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly route: Route;

  constructor(
    private readonly options: IngressExchangeOptions,
    private readonly durations: CallDurations,
    private readonly request: IngressRequest,
  ) {
    this.message = request.message;
    this.response = request.response;
    this.route = request.route;
    this.startedAt = options.clock.now();
    this.service = options.split.next(this.route);
    this.context = this.createContext(options.transport.names);
  }

  /** @param onOver called once, when the exchange has ended */
  start(onOver: () => void): void {
    const { stats, bodyLimits } = this.options;
    stats.onStart();
    this.response.once('close', () => {
      onOver();
      this.onClose();
    });
    readRequestBody(this.message, bodyLimits(), (body, fault) => {
      if (body !== undefined) this.send(body);
      else if (fault === 'caller-gone' || fault === undefined) this.response.destroy();
      else {
        this.response.shouldKeepAlive = false;
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

  private createContext(names: TargetHeaders): CallContext {
    const { message, route, service, startedAt } = this;
    const { nestedRoutes, repeatedRuns } = this.options;
    const context = ingressContext(route, {
      requestId: headerValue(message.headers, names.requestId) ?? '',
      service,
      clientTimeoutMs: deadlineOf(names, message.headers),
      arrivedAt: startedAt,
      group: this.request.group,
      inheritedShare: nestedRoutes.has(route.name) ? repeatedRuns.share() : 0,
    });
    return boundedByStop(context, this.options.stop);
  }

  endWithProcess(): void {
    if (this.call !== undefined) this.call.endWithProcess();
    else if (!this.response.headersSent) {
      const detail = 'The process had to end before the request was read.';
      this.refuse({
        reason: 'leaving',
        verdict: 'not-run',
        retryAfterSeconds: SOON_SECONDS,
        detail,
      });
    }
  }

  private send(body: RequestBody): void {
    // A request that was told that it has not run is not sent on when the rest of its body arrives.
    if (this.response.headersSent) return;
    const { isQuarantined } = this.options;
    const fingerprint = this.fingerprint(body);
    if (isQuarantined(fingerprint)) {
      this.refuse(QUARANTINED);
      return;
    }
    this.context = { ...this.context, fingerprint };
    const { group } = this.request;
    if (group === undefined) {
      this.forward(body);
      return;
    }
    const maxWaitMs = quotaWaitMs(this.route);
    this.options.quota.acquire(group, maxWaitMs, (permit) => this.onPermit(group, permit, body));
  }

  /** @param permit undefined where the group has had the requests that it may make */
  private onPermit(group: Group, permit: QuotaPermit | undefined, body: RequestBody): void {
    if (this.isOver || this.response.headersSent) {
      permit?.release();
      return;
    }
    if (permit === undefined) {
      this.refuse({
        reason: 'rate-limited',
        verdict: 'not-run',
        retryAfterSeconds: this.options.quota.retryAfterSeconds(group.name),
        detail: `Group '${group.name}' is at its rate. ${this.options.quota.describe(group.name)}`,
      });
      return;
    }
    this.permit = permit;
    this.forward(body);
  }

  private forward(body: RequestBody): void {
    const { router, transport, nestedRoutes } = this.options;
    const { context, route, service } = this;
    const { group } = this.request;
    this.call = router.call(
      service,
      ingressRequest(route, context, nestedRoutes.has(route.name)),
      new PeerTransport(transport, context, this.message, body, this.response, group?.name),
      (result) => this.onResult(result),
    );
  }

  private fingerprint(body: RequestBody): string {
    const { message, service } = this;
    const isWhole = body.content === body.start;
    return fingerprintOf({
      service,
      callingService: this.options.transport.callingService(),
      method: message.method ?? '',
      host: message.headers.host ?? '',
      path: message.url ?? '',
      streamedLength: isWhole ? undefined : message.headers['content-length'],
      bodyStart: body.start,
    });
  }

  private onClose(): void {
    this.isOver = true;
    this.options.stats.onFinish();
    if (this.response.writableFinished) return;
    this.options.stats.kind(this.route.name).cancelled += 1;
    this.call?.cancel();
  }

  private onResult(result: OutboundResult): void {
    const stats = this.options.stats.kind(this.route.name);
    if (result.type !== 'broken') this.learn(result);
    if (result.type === 'refused') {
      if (result.refusal.verdict === 'not-run') this.permit?.release();
      this.refuse(result.refusal);
      return;
    }
    if (result.type === 'broken') {
      stats.broken += 1;
      this.options.journal.onIngress(this.record(), 'broken');
      this.response.destroy();
      return;
    }
    const heldMs = this.options.clock.now() - this.startedAt;
    stats.relayed += 1;
    stats.onLatency(heldMs);
    this.durations.onCall(this.route.name, heldMs);
  }

  /** Of a call that the target of this machine made: how congested it is below. */
  private learn(result: Exclude<OutboundResult, { type: 'broken' }>): void {
    const { nestedRoutes, downstream, retryBudget } = this.options;
    if (result.nested !== undefined && nestedRoutes.onAnswer(this.route.name, result.nested)) {
      this.options.journal.onRouteLearned(this.record(), result.nested);
    }
    if (!nestedRoutes.has(this.route.name)) return;
    downstream.onCall(congestionOf(result));
    retryBudget.onCallBelow(result.repeatRoom);
  }

  private refuse(refusal: Refusal): void {
    this.options.stats.kind(this.route.name).onRefused(refusal.reason);
    this.options.journal.onIngress(this.record(), refusal);
    const { random, fractionalRetryAfter } = this.options;
    const seconds = clientRetryAfterSeconds(this.route.objectiveMs, refusal, random);
    const retryAfterSeconds = headerSeconds(seconds, fractionalRetryAfter);
    writeRefusal(this.response, { ...refusal, retryAfterSeconds }, this.context.requestId);
  }

  /** What there is to say of the request now. */
  record(): IngressRecord {
    return {
      requestId: this.context.requestId,
      route: this.route.name,
      service: this.service,
      revision: this.request.revision,
      heldMs: Math.round(this.options.clock.now() - this.startedAt),
      attempts: this.call?.attempted ?? [],
      fingerprint: this.context.fingerprint,
    };
  }
}
