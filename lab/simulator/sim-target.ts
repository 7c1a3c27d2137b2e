/**
 * One simulated target with its node: the product's own admission, routing and claim modules around a
 * back-end model.
 */
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { AdmissionController } from '../../src/admission/admission-controller.js';
import type { ConcurrencyLimiter } from '../../src/admission/concurrency-limiter.js';
import { FixedLimiter } from '../../src/admission/fixed-limiter.js';
import { ProbeLimiter } from '../../src/admission/probe-limiter.js';
import { callPriority } from '../../src/admission/call-priority.js';
import { TargetRateLimiter } from '../../src/admission/target-rate-limiter.js';
import { SHARING_ORDERS } from '../../src/admission/sharing-policy.js';
import type { CallContext } from '../../src/call/call-context.js';
import { NODE_CALL_HOOKS } from '../../src/gate/call-hooks.js';
import { InboundCall } from '../../src/gate/inbound-call.js';
import type { InboundResult } from '../../src/gate/inbound-services.js';
import { OutboundRouter } from '../../src/outbound/outbound-router.js';
import { refusalStatus } from '../../src/call/refusal.js';
import type { Attempt, AttemptListener, TargetTransport } from '../../src/call/transport.js';
import type { Clock } from '../../src/common/clock.js';
import type { RandomSource } from '../../src/common/random.js';
import type { KeyClaims } from '../../src/dedup/claim.js';
import { ClaimReplica } from '../../src/dedup/claim-replica.js';
import { QuorumClaims } from '../../src/dedup/quorum-claims.js';
import type { PolicyTable } from '../../src/policy/policy-table.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { ServiceDirectory } from '../../src/routing/service-directory.js';
import { BackendModel, type BackendCall } from '../model/backend-model.js';
import type { NestedCallModel, TargetPlacement } from '../model/deployment.js';
import { DirectPath } from './direct-path.js';
import { LocalClaims } from './local-claims.js';
import type { Mechanisms } from './mechanisms.js';
import { MachineClock } from './machine-clock.js';
import { SimMachine } from './sim-network.js';
import { SimClaimTransport } from './sim-claim-transport.js';
import { SimOutboundTransport, type NodeAnswer, type SimRequest } from './sim-transport.js';
import { UnboundedAllowance, UNBOUNDED_RETRY_RATIO } from './unbounded-allowance.js';
import type { SimWorld } from './sim-world.js';
import type { Cancellable } from '../model/cancellable.js';

/** Same values as in the node program. */
const LEAVING_LINGER_MS = 3_000;
const MAX_DRAIN_MS = 10_000;
const DRAIN_CHECK_MS = 50;
/** Timeout of a claim message. */
const CLAIM_TIMEOUT_MS = 1_000;
const UNLIMITED = 1_000_000;
const STATUS_OK = 200;

/** Receives the answer to one call and its outcome. */
export type AnswerCallback = (answer: NodeAnswer) => void;

export class SimTarget {
  readonly machine: SimMachine;
  readonly backend: BackendModel;
  isLeaving = false;
  /** When the platform marked the machine as leaving; kept over restarts of the process. */
  private leavingSince: number | undefined;
  private directory!: ServiceDirectory;
  private admission: AdmissionController;
  private router: OutboundRouter;
  private claims!: KeyClaims;
  private replica!: ClaimReplica;
  private readonly inboundByLabId = new Map<string, InboundCall>();

  private readonly clock: Clock;
  private readonly directPath: DirectPath;

  constructor(
    readonly placement: TargetPlacement,
    private readonly world: SimWorld,
    private readonly random: RandomSource,
    private readonly mechanisms: Mechanisms,
  ) {
    this.machine = new SimMachine(placement.nodeId, placement.zone);
    this.clock = new MachineClock(world.clock, this.machine);
    this.directPath = new DirectPath(world, random);
    this.backend = new BackendModel(this.clock, random, placement.service, (call, labId, done) =>
      this.callDownstream(call, labId, done),
    );
    this.admission = this.createAdmission();
    this.router = this.createRouter();
    this.startClaims();
  }

  get claimReplica(): ClaimReplica {
    return this.replica;
  }

  /** Restarts the process; its state in memory is lost. */
  restart(): void {
    this.machine.restart();
    this.backend.reset();
    this.inboundByLabId.clear();
    this.admission = this.createAdmission();
    this.router = this.createRouter();
    this.replica.stop();
    this.startClaims();
    this.restoreLeavingState();
    this.world.refreshDirectory(this.directory);
    const view = this.world.claimViewOf(this.placement.service.name);
    if (view !== undefined) this.replica.setView(view);
  }

  /** Marks the node as leaving at once and schedules its planned stop. */
  leave(): void {
    this.leavingSince = this.world.clock.now();
    this.isLeaving = true;
    this.clock.schedule(LEAVING_LINGER_MS, () => this.endWhenIdle(MAX_DRAIN_MS));
  }

  /** Ends the process once no call is in flight, or when the drain time is over. */
  private endWhenIdle(remainingMs: number): void {
    if (!this.isLeaving) return;
    if (this.inboundByLabId.size > 0 && remainingMs > 0) {
      this.clock.schedule(DRAIN_CHECK_MS, () => this.endWhenIdle(remainingMs - DRAIN_CHECK_MS));
      return;
    }
    this.world.kill(this.machine);
    this.backend.reset();
    this.world.scheduleEndpointUpdate();
  }

  /** Restores the leaving state after a restart, with the delay of the platform's list. */
  private restoreLeavingState(): void {
    this.isLeaving = false;
    if (this.leavingSince === undefined) return;
    const knownInMs = this.leavingSince + this.world.listDelayMs - this.world.clock.now();
    this.clock.schedule(knownInMs, () => {
      this.isLeaving = true;
      this.world.scheduleEndpointUpdate();
    });
  }

  /** Handles an inbound call at the node. */
  handle(request: SimRequest, context: CallContext, answer: AnswerCallback): Cancellable {
    const { service } = this.placement;
    const table = this.world.table;
    const needsClaim =
      request.idempotencyKey !== undefined &&
      !table.isRepeatable(service.name, request.method, request.path);
    const claimKey = needsClaim
      ? `${service.name}\n${context.group}\n${request.idempotencyKey}`
      : undefined;
    const call: InboundCall = new InboundCall(
      context,
      claimKey,
      {
        clock: this.clock,
        admission: this.admission,
        isLeaving: () => this.isLeaving && this.mechanisms.leaving,
        claims: this.claims,
      },
      new SimTargetTransport(this, request, context, (status, bytes) =>
        answer({ status, bytes, outcome: call.takeOutcome('ran', undefined) }),
      ),
      (result) => this.onResult(call, request, result, answer),
      NODE_CALL_HOOKS,
    );
    this.inboundByLabId.set(request.labId, call);
    call.start();
    return {
      cancel: () => {
        this.removeInbound(request, call);
        call.cancel();
      },
    };
  }

  private onResult(
    call: InboundCall,
    request: SimRequest,
    result: InboundResult,
    answer: AnswerCallback,
  ): void {
    this.removeInbound(request, call);
    if (result.type !== 'refused') return;
    const { refusal } = result;
    answer({
      status: refusalStatus(refusal),
      bytes: 0,
      outcome: call.takeOutcome(refusal.verdict, refusal.reason),
    });
  }

  private removeInbound(request: SimRequest, call: InboundCall): void {
    if (this.inboundByLabId.get(request.labId) === call) this.inboundByLabId.delete(request.labId);
  }

  /** Sends a nested call of the back end to another service through this node. */
  private callDownstream(
    call: NestedCallModel,
    labId: string,
    done: (status: number) => void,
  ): Cancellable {
    if (!this.mechanisms.shoredoor) {
      return this.directPath.sendFromTarget(this.machine, call, labId, done);
    }
    const root = labId.slice(0, labId.lastIndexOf('/'));
    const passes = this.placement.service.passesContext;
    const inbound = passes ? this.inboundByLabId.get(root) : undefined;
    const context = inbound?.context ?? this.world.unattributedContext(call);
    const { table } = this.world;
    const request: SimRequest = {
      labId,
      method: call.method,
      path: call.path,
      idempotencyKey: undefined,
    };
    let finished = false;
    const finish = (status: number, overloaded: boolean): void => {
      if (finished) return;
      finished = true;
      inbound?.onNestedEnd(overloaded);
      done(status);
    };
    inbound?.onNestedStart();
    const outbound = this.router.call(
      call.service,
      {
        trafficClass: `${call.service}/${context.kind}/${context.group}`,
        priority: callPriority({ importance: context.importance, isNested: true }),
        repeatable: table.isRepeatable(call.service, call.method, call.path),
        deadlineAt: context.deadlineAt,
        retryRatio: this.retryRatio(table.kind(context.kind)?.retryRatio),
        allowance: this.nestedAllowance(inbound),
      },
      new SimOutboundTransport(this.world, this.machine, context, request, (status) =>
        finish(status, status !== STATUS_OK),
      ),
      (result) => {
        if (result.type === 'refused') {
          finish(refusalStatus(result.refusal), result.overloaded);
        } else if (result.type === 'broken') finish(0, false);
      },
    );
    return {
      cancel: () => {
        if (finished) return;
        finished = true;
        inbound?.onNestedEnd(false);
        outbound.cancel();
      },
    };
  }

  private retryRatio(declared: number | undefined): number {
    return this.mechanisms.retryBound ? (declared ?? 0) : UNBOUNDED_RETRY_RATIO;
  }

  private nestedAllowance(inbound: InboundCall | undefined): RetryAllowance {
    if (!this.mechanisms.retryBound) return new UnboundedAllowance();
    return inbound?.allowance ?? new RetryAllowance(0);
  }

  private createAdmission(): AdmissionController {
    const { service } = this.placement;
    const spec = (): ReturnType<PolicyTable['serviceSpec']> =>
      this.world.table.serviceSpec(service.name);
    return new AdmissionController({
      clock: this.clock,
      random: this.random,
      limiter: this.createLimiter(),
      rateLimiter: new TargetRateLimiter(this.clock),
      order: SHARING_ORDERS[this.mechanisms.sharing],
      shareOf: (group) => this.world.table.shareOf(group),
      totalShare: () => this.world.table.totalShare,
      queueWaitMs: () => spec().queueWaitMs,
    });
  }

  private startClaims(): void {
    const { clock, machine, world } = this;
    const selfId = machine.id;
    const { incarnation } = machine;
    const transport = new SimClaimTransport(world, machine, CLAIM_TIMEOUT_MS);
    this.replica = new ClaimReplica({
      clock,
      selfId,
      incarnation,
      transport,
      silentForMs: () => 0,
    });
    const { replica } = this;
    this.claims =
      this.mechanisms.claims === 'local'
        ? new LocalClaims(clock)
        : new QuorumClaims({ clock, selfId, incarnation, replica, transport });
  }

  private createLimiter(): ConcurrencyLimiter {
    const { concurrency } = this.world.table.serviceSpec(this.placement.service.name);
    switch (this.mechanisms.limiter) {
      case 'unlimited':
        return new FixedLimiter({ initial: UNLIMITED, min: 1, max: UNLIMITED });
      case 'fixed':
        return new FixedLimiter(concurrency);
      case 'probe':
        return new ProbeLimiter(concurrency, this.random);
    }
  }

  private createRouter(): OutboundRouter {
    this.directory = this.world.createDirectory(this.machine);
    return new OutboundRouter({
      clock: this.clock,
      random: this.random,
      directory: this.directory,
      throttle: new OverloadThrottle(this.random, { enabled: this.mechanisms.throttle }),
    });
  }
}

/** Sends admitted calls to the back end on the same machine. */
class SimTargetTransport implements TargetTransport {
  private readonly incarnation: number;

  constructor(
    private readonly target: SimTarget,
    private readonly request: SimRequest,
    private readonly context: CallContext,
    private readonly onAnswer: (status: number, bytes: number) => void,
  ) {
    this.incarnation = target.machine.incarnation;
  }

  send(listener: AttemptListener): Attempt {
    let cancelled = false;
    const { labId, method, path } = this.request;
    const { machine, backend } = this.target;
    // The process that admitted this call has ended in the meantime, so the call must not run.
    if (!machine.isAlive || machine.incarnation !== this.incarnation) {
      return { written: false, cancel: () => undefined };
    }
    const call: BackendCall | undefined = backend.accept(
      { labId, method, path, deadlineAt: this.context.deadlineAt },
      (status, bytes) => {
        if (cancelled) return;
        listener.onHead({ status, outcome: undefined });
        this.onAnswer(status, bytes);
        listener.onEnd();
      },
    );
    return {
      written: true,
      cancel: () => {
        cancelled = true;
        call?.cancel();
      },
    };
  }
}
