/**
 * The inbound side of a sidecar: accepts routed calls from other sidecars for the target of its
 * machine. All calls to that target pass through it, so it decides which are admitted, and in which
 * order (`gate/arrival-checks.ts`, `gate/call-admission.ts`). Counts and logs how each call ended.
 */
import { GateTransport, type GateTransportOptions } from './gate-transport.js';
import type { IncomingLinkCall } from '../link/incoming-link-call.js';
import { getRawHeader } from '../http/header-filter.js';
import type { OriginTracker } from '../routing/origin-tracker.js';
import type { CallContext } from '../call/call-context.js';
import type { CallDurations } from '../call/call-durations.js';
import type { CallStats } from '../call/call-stats.js';
import { checkArrival, type ArrivalRefusal } from './arrival-checks.js';
import { createGateContext, createGateCallOptions } from './gate-policy.js';
import { InboundCall } from './inbound-call.js';
import { GateCallHooks, type GateCallOptions } from './gate-call-hooks.js';
import type { GateServices, InboundResult } from './inbound-services.js';
import { notStartedOutcome, type Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type { RequestLog } from '../call/request-log.js';

/** Dependencies of a gate. */
export interface GateServerOptions {
  readonly services: GateServices;
  readonly transport: GateTransportOptions;
  readonly stats: CallStats;
  /** Service of the current target; undefined while there is none. */
  readonly service: () => string | undefined;
  readonly journal: RequestLog;
  readonly origins: OriginTracker;
  /** Records how long calls take. */
  readonly durations: CallDurations;
}

export class GateServer {
  private readonly underWay = new Set<GateExchange>();

  constructor(private readonly options: GateServerOptions) {}

  /** Handles one call. */
  readonly handle = (call: IncomingLinkCall): void => {
    const { origins, services, transport } = this.options;
    const { context: frame, headers } = call.frame;
    origins.onCall(frame.kind, getRawHeader(headers, transport.names.callingService) ?? '');
    const isNested = origins.isNested(frame.kind);
    const context = createGateContext(frame, isNested, services.clock.now());
    const options = createGateCallOptions(frame, isNested, origins.isPresumedNested(frame.kind));
    const exchange = new GateExchange(this.options, call, context, options);
    this.underWay.add(exchange);
    exchange.start(() => this.underWay.delete(exchange));
  };

  /** Ends all calls in flight because the process is about to exit. */
  endWithProcess(): void {
    for (const exchange of [...this.underWay]) exchange.endWithProcess();
  }
}

/** One call in flight through the gate. */
class GateExchange {
  private readonly startedAt: number;
  private isOver = false;
  private call: InboundCall | undefined;
  private onOver: () => void = () => undefined;

  constructor(
    private readonly options: GateServerOptions,
    private readonly incoming: IncomingLinkCall,
    private readonly context: CallContext,
    private readonly callOptions: GateCallOptions,
  ) {
    this.startedAt = options.services.clock.now();
  }

  /** @param onOver called once, when the exchange has ended */
  start(onOver: () => void): void {
    const { services, stats, service, transport } = this.options;
    const { context, incoming } = this;
    this.onOver = onOver;
    stats.onStart();
    const refused = checkArrival({
      service: context.service,
      presentService: service(),
      isQuarantined: () => services.crashGuard.isQuarantined(context.fingerprint ?? ''),
    });
    if (refused !== undefined) {
      this.refuseOnArrival(refused);
      return;
    }
    const call: InboundCall = new InboundCall(
      context,
      undefined,
      services,
      new GateTransport(transport, context, incoming),
      (result) => this.onResult(call, result),
      new GateCallHooks(services, context, { ...this.callOptions, caller: incoming.caller }),
    );
    this.call = call;
    incoming.takeOutcome = (): Outcome => call.takeOutcome('ran', undefined);
    incoming.once('cancel', () => this.onCallerGone(call));
    incoming.once('bodyFailure', () => call.endWithIncompleteBody());
    call.start();
  }

  endWithProcess(): void {
    this.call?.endWithProcess();
  }

  private onCallerGone(call: InboundCall): void {
    if (this.isOver) return;
    this.options.stats.statsFor(this.context.kind).cancelled += 1;
    call.cancel();
    this.finish();
  }

  private onResult(call: InboundCall, result: InboundResult): void {
    const stats = this.options.stats.statsFor(this.context.kind);
    if (result.type === 'refused') {
      const { reason, verdict, detail } = result.refusal;
      this.refuse(reason, call.takeOutcome(verdict, reason), detail);
      return;
    }
    if (result.type === 'broken') {
      stats.broken += 1;
      this.options.journal.onGateFailure(this.context, 'broken', result.verdict, this.startedAt);
      this.incoming.destroy();
    } else {
      stats.relayed += 1;
      const heldMs = this.options.services.clock.now() - this.startedAt;
      stats.onLatency(heldMs);
      this.options.durations.record(this.context.kind, heldMs);
    }
    this.finish();
  }

  private refuseOnArrival({ reason, detail, crashNote }: ArrivalRefusal): void {
    const outcome = notStartedOutcome(reason, this.context.retries);
    const noted = crashNote === undefined ? outcome : { ...outcome, crashNote };
    this.refuse(reason, noted, detail);
  }

  private refuse(reason: RefusalReason, outcome: Outcome, cause: string): void {
    this.options.stats.statsFor(this.context.kind).onRefused(reason);
    this.options.journal.onGateFailure(
      this.context,
      reason,
      outcome.verdict,
      this.startedAt,
      cause,
    );
    this.incoming.refuse(outcome);
    this.finish();
  }

  private finish(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.onOver();
    this.options.stats.onFinish();
  }
}
