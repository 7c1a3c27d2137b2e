/**
 * A simulated machine: a target and its sidecar, which uses the production code at its ingress and its gate.
 * Links between machines have a fixed delay and lose no messages.
 */
import { clientRetryAfterSeconds } from '../../../src/call/retry-after.js';
import type { AdmissionController } from '../../../src/admission/admission-controller.js';
import { NestedCallShares } from '../../../src/admission/nested-call-shares.js';
import { PathBottlenecks } from '../../../src/admission/path-bottlenecks.js';
import { TargetPressure } from '../../../src/admission/target-pressure.js';
import type { CallContext } from '../../../src/call/call-context.js';
import { FirstHopRoom } from '../../../src/ingress/first-hop-room.js';
import { noRoomDownstream } from '../../../src/ingress/ingress-rules.js';
import { CongestionLevel } from '../../../src/admission/congestion-level.js';
import { SlotLimiter } from '../../../src/admission/slot-limiter.js';
import { TargetRateLimiter } from '../../../src/admission/target-rate-limiter.js';
import { GateCallHooks } from '../../../src/gate/gate-call-hooks.js';
import {
  createGateContext,
  createGateCallOptions,
  USABLE_SLOT_FRACTION,
} from '../../../src/gate/gate-policy.js';
import { InboundCall } from '../../../src/gate/inbound-call.js';
import type { GateServices } from '../../../src/gate/inbound-services.js';
import { ClientWaitEstimator } from '../../../src/ingress/client-wait-estimator.js';
import {
  createIngressContext,
  createOutboundRequest,
} from '../../../src/ingress/ingress-context.js';
import { recordResult } from '../../../src/ingress/result-observers.js';
import { createFrameContext } from '../../../src/link/frame-context.js';
import type { OutboundResult } from '../../../src/outbound/outbound-request.js';
import { OutboundRouter } from '../../../src/outbound/outbound-router.js';
import type { Outcome } from '../../../src/call/outcome.js';
import { HttpStatus } from '../../../src/common/http-status.js';
import { refusalStatus } from '../../../src/call/refusal.js';
import type { AttemptMetadata } from '../../../src/call/transport.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { CallFrameContext } from '../../../src/link/link-frames.js';
import type { Route } from '../../../src/policy/route-table.js';
import type { EndpointRecord } from '../../../src/call/endpoint.js';
import { NestedRoutes } from '../../../src/routing/nested-routes.js';
import { OriginTracker } from '../../../src/routing/origin-tracker.js';
import { RepeatedRuns } from '../../../src/retry/repeated-runs.js';
import { ServiceRetryBudget } from '../../../src/retry/service-retry-budget.js';
import { callerFraction } from '../../../src/routing/subset.js';
import { ServiceDirectory } from '../../../src/routing/service-directory.js';
import { DEFAULT_RETRY_BOUND } from '../../../src/settings/schemas.js';
import type { ArrivalLedger } from './arrival-ledger.js';
import type { SimRoute, SimService } from './call-graph.js';
import { RequestLineage } from './request-lineage.js';
import { simGateServices } from './sim-gate-services.js';
import { endUse, type SlotAccount } from './slot-account.js';
import { SimPeerTransport } from './sim-peer-transport.js';
import { NO_TARGET_FAULTS, SimTargetTransport, type TargetFaults } from './sim-target-transport.js';
import { SimTargetWork, type WorkSpeed } from './sim-target-work.js';
import type { Cancellable } from '../../model/cancellable.js';

/** State and lookups that all sidecars of a run share. */
export interface SidecarEnvironment {
  readonly clock: VirtualClock;
  readonly random: RandomSource;
  route(name: string): SimRoute;
  sidecar(id: string): SimSidecar;
  /** Called for each attempt. @param crossesZones whether it was sent to another zone */
  onAttempt(crossesZones: boolean): void;
  /** Returns the faults currently injected at the targets of a service. */
  targetFaults(service: string): TargetFaults;
  /** Whether ingresses refuse requests that have no room at a service below. */
  readonly firstHopRoom: boolean;
  readonly arrivals: ArrivalLedger;
  readonly slots: SlotAccount;
}

/** Position of a machine in the deployment. */
export interface SimLocation {
  /** Index among the machines of its service. */
  readonly index: number;
  readonly zone: string;
}

/** Final answer of an ingress to a request. */
export interface SimAnswer {
  readonly status: number;
  /** Value of `Retry-After`; 0 if the header is absent. */
  readonly retryAfterSeconds: number;
}

/** A request that was refused before anything of it was sent. */
const NOT_SENT: Cancellable = { cancel: () => undefined };

/** Receives the answer of a gate; `status` is 0 if no answer of the target was relayed. */
type GateAnswerListener = (status: number, outcome: Outcome) => void;

export class SimSidecar {
  readonly record: EndpointRecord;
  private readonly index: number;
  /** Times of arrivals at the target, in milliseconds. */
  readonly arrivalTimes: number[] = [];
  private readonly limiter = new SlotLimiter(USABLE_SLOT_FRACTION);
  private readonly rateLimiter: TargetRateLimiter;
  private readonly origins: OriginTracker;
  private readonly downstream: CongestionLevel;
  private readonly retryBudget: ServiceRetryBudget;
  private readonly repeatedRuns: RepeatedRuns;
  private readonly services: GateServices;
  private readonly directory: ServiceDirectory;
  private readonly router: OutboundRouter;
  private readonly nestedRoutes = new NestedRoutes();
  private readonly clientWaits = new ClientWaitEstimator();
  private bottlenecks: PathBottlenecks | undefined;
  private readonly room: FirstHopRoom | undefined;
  private activeWork: SimTargetWork[] = [];

  constructor(
    private readonly world: SidecarEnvironment,
    readonly service: SimService,
    location: SimLocation,
    private readonly speed: WorkSpeed,
  ) {
    const { clock, random } = world;
    const { zone } = location;
    this.index = location.index;
    const id = `${service.name}-${location.index}`;
    this.record = {
      id,
      incarnation: 1,
      service: service.name,
      zone,
      origin: id,
      state: 'ready',
    };
    this.limiter.setSlots(service.slots);
    this.rateLimiter = new TargetRateLimiter(clock);
    this.downstream = new CongestionLevel(clock);
    this.directory = new ServiceDirectory({
      clock,
      random,
      callerId: id,
      callerZone: this.record.zone,
      slowStartMs: () => 0,
    });
    this.retryBudget = new ServiceRetryBudget({
      clock,
      ...DEFAULT_RETRY_BOUND,
      gates: () => service.targets,
    });
    this.repeatedRuns = new RepeatedRuns();
    this.origins = new OriginTracker(
      () => this.directory.endpointCountByService,
      () => callerFraction(service.targets),
    );
    this.services = simGateServices({
      clock,
      random,
      limiter: this.limiter,
      rateLimiter: this.rateLimiter,
      downstream: this.downstream,
      retryBudget: this.retryBudget,
      repeatedRuns: this.repeatedRuns,
      bottlenecks: (admission) => this.createBottlenecks(admission),
      isFavoured: (bottleneck, importance) => this.room?.favours(bottleneck, importance) === true,
    });
    if (world.firstHopRoom) this.room = new FirstHopRoom(clock, random);
    this.router = new OutboundRouter({
      clock,
      random,
      directory: this.directory,
      calleesBoundRepeats: true,
    });
  }

  private createBottlenecks(admission: AdmissionController): PathBottlenecks | undefined {
    const { clock, firstHopRoom } = this.world;
    if (!firstHopRoom) return undefined;
    this.bottlenecks = new PathBottlenecks({
      clock,
      service: () => this.service.name,
      pressure: new TargetPressure(clock, () => admission.status()),
      shares: new NestedCallShares(clock),
    });
    return this.bottlenecks;
  }

  /** Number of calls in progress at the target. */
  get running(): number {
    this.activeWork = this.activeWork.filter((work) => work.isRunning);
    return this.activeWork.length;
  }

  /** The target announces a rate limit. @param perSecond undefined to lift it */
  announceLimit(perSecond: number | undefined): void {
    this.rateLimiter.setLimit(perSecond);
  }

  /** Simulates a restart of the sidecar process, which loses the arrivals counted for the retry budget. */
  restart(): void {
    this.retryBudget.reset();
  }

  /** Replaces the list of endpoints. */
  update(records: readonly EndpointRecord[]): void {
    this.directory.update(records);
  }

  /** Handles a request from a client or from the local target. */
  ingress(
    simRoute: SimRoute,
    clientTimeoutMs: number,
    lineage: RequestLineage,
    done: (answer: SimAnswer) => void,
  ): Cancellable {
    const { clock, arrivals } = this.world;
    if (!lineage.isFromRepeatedRun) arrivals.onRequest(simRoute.service, clock.now());
    const { route } = simRoute;
    const arrivedAt = clock.now();
    const arrival = {
      requestId: '',
      service: simRoute.service,
      clientTimeoutMs,
      arrivedAt,
      clientWaitedMs: this.clientWaits.estimateWaitedMs(route.name, clientTimeoutMs),
      inheritedShare: this.nestedRoutes.has(route.name)
        ? this.repeatedRuns.estimateRepeatShare()
        : 0,
    };
    const context = createIngressContext(route, arrival);
    if (this.nestedRoutes.has(route.name)) this.bottlenecks?.onNestedCall(route.name);
    else if (this.refusesForRoom(route, context, done)) return NOT_SENT;
    const frame = (envelope: AttemptMetadata): CallFrameContext =>
      createFrameContext(context, envelope, clock.now());
    const transport = new SimPeerTransport(this.world, this.record, frame, lineage);
    return this.router.call(
      simRoute.service,
      createOutboundRequest(route, context, this.nestedRoutes.has(route.name)),
      transport,
      (result) => {
        this.recordResult(route.name, result);
        done(this.answerOf(route, result, transport.status));
      },
    );
  }

  /** Handles a call that another sidecar sent to the local target. */
  gate(
    frame: CallFrameContext,
    caller: string,
    lineage: RequestLineage,
    answer: GateAnswerListener,
  ): Cancellable {
    const { clock } = this.world;
    this.origins.onCall(frame.kind, caller);
    const isNested = this.origins.isNested(frame.kind);
    const context = createGateContext(frame, isNested, clock.now());
    const transport = this.targetTransport(frame.kind, context.deadlineAt, lineage);
    const call: InboundCall = new InboundCall(
      context,
      undefined,
      this.services,
      transport,
      (result) => {
        if (result.type === 'relayed') return;
        const verdict = result.type === 'broken' ? result.verdict : result.refusal.verdict;
        const reason = result.type === 'broken' ? 'broken-answer' : result.refusal.reason;
        answer(0, call.takeOutcome(verdict, reason));
      },
      new GateCallHooks(this.services, context, {
        ...createGateCallOptions(frame, isNested, this.origins.isPresumedNested(frame.kind)),
        caller,
      }),
    );
    transport.onRelayed = (status) => answer(status, call.takeOutcome('ran', undefined));
    call.start();
    return call;
  }

  private refusesForRoom(
    route: Route,
    { importance, clientWaitedMs = 0 }: CallContext,
    done: (answer: SimAnswer) => void,
  ): boolean {
    const request = { route: route.name, importance, clientWaitedMs };
    const noRoom = this.room?.admit(request);
    if (noRoom === undefined) return false;
    const { refusal } = noRoomDownstream(noRoom);
    const retryAfterSeconds = clientRetryAfterSeconds(
      route.objectiveMs,
      refusal,
      this.world.random,
    );
    done({ status: refusalStatus(refusal), retryAfterSeconds });
    return true;
  }

  private recordResult(route: string, result: OutboundResult): void {
    const { nestedRoutes, downstream, retryBudget, bottlenecks, room } = this;
    recordResult({ nestedRoutes, downstream, retryBudget, bottlenecks, room }, route, result);
  }

  private answerOf(route: Route, result: OutboundResult, status: number): SimAnswer {
    if (result.type === 'relayed') return { status, retryAfterSeconds: 0 };
    if (result.type === 'broken') return { status: 0, retryAfterSeconds: 0 };
    const { refusal } = result;
    const retryAfterSeconds = clientRetryAfterSeconds(
      route.objectiveMs,
      refusal,
      this.world.random,
    );
    return { status: refusalStatus(refusal), retryAfterSeconds };
  }

  private targetTransport(
    kind: string,
    deadlineAt: number,
    lineage: RequestLineage,
  ): SimTargetTransport {
    const { clock, random } = this.world;
    const route = this.world.route(kind);
    const arrivedAt = clock.now();
    return new SimTargetTransport(
      { clock, random, faults: () => this.faults() },
      (done) => {
        const isRepeat = this.countArrival(lineage);
        const startedAt = clock.now();
        const use = this.world.slots.begin({
          service: this.service.name,
          call: kind,
          lineage,
          target: this.index,
          waitedMs: startedAt - arrivedAt,
          startedAt,
        });
        const work = new SimTargetWork(
          clock,
          random,
          route,
          { ...this.speed, factor: this.speed.factor * this.slowFactor() },
          deadlineAt - clock.now(),
          (name, deadlineMs, nestedDone) =>
            this.ingress(
              this.world.route(name),
              deadlineMs,
              lineage.nested(isRepeat),
              ({ status }) => nestedDone(status),
            ),
          (status) => {
            this.reportLoad();
            endUse(
              use,
              status < HttpStatus.InternalServerError ? 'answered' : 'failed',
              clock.now(),
            );
            done(status);
          },
        );
        this.activeWork.push(work);
        return {
          cancel: () => {
            if (work.isRunning) endUse(use, 'cancelled', clock.now());
            work.cancel();
          },
        };
      },
      () => this.countArrival(lineage),
    );
  }

  /** Faults injected at this target. */
  private faults(): TargetFaults {
    const faults = this.world.targetFaults(this.service.name);
    const { faultyPart = 1 } = faults;
    return this.index < faultyPart * this.service.targets ? faults : NO_TARGET_FAULTS;
  }

  /** The target reports its load with each answer. Its slowdown contains its own speed. */
  private reportLoad(): void {
    const { bursts, factor } = this.speed;
    const { running, service } = this;
    const slowdown = bursts && bursts.factorAt(this.world.clock.now()) * factor;
    this.services.targetLoad.onReport({ running, waiting: 0, slots: service.slots, slowdown });
  }

  private slowFactor(): number {
    const { slowPart = 0, slowFactor = 1 } = this.world.targetFaults(this.service.name);
    return this.index < slowPart * this.service.targets ? slowFactor : 1;
  }

  /** @returns whether the arrival is a repeat */
  private countArrival(lineage: RequestLineage): boolean {
    this.arrivalTimes.push(this.world.clock.now());
    const isRepeat = lineage.recordArrival();
    if (isRepeat) this.world.arrivals.onRepeat(this.service.name, this.world.clock.now());
    return isRepeat;
  }
}
