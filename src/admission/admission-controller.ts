/**
 * Decides which calls enter the target, which wait, and which are refused. Asked once for each call. Owns the calls in the
 * target, those that wait, and the times that calls took; relies on the limiter for the room, on `queue-wait.ts` for who
 * may wait, and on the sharing order for who comes first and who is refused first. Pure: it is given a clock and a random
 * source, and answers through the listener of each call.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Importance } from '../policy/importance.js';
import type { ConcurrencyLimiter, SampleOutcome } from './concurrency-limiter.js';
import { TargetDurations } from './held-times.js';
import { ShareClassUsage } from './share-class-usage.js';
import type { SharingOrder } from './sharing-policy.js';
import { DemandRatio } from './offered-pressure.js';
import { decideWait, queueCapacity, waitTimeoutReason, type WaitRequest } from './queue-wait.js';
import { WaitingCalls, type ShareClassState, type WaitingCall } from './waiting-calls.js';
import { NO_RETRY_AFTER, notAdmittedSeconds } from '../call/retry-after.js';

/** A call that asks to be let in. */
export interface AdmissionRequest {
  /** The class of calls that share the target's slots with each other. */
  readonly shareClass: string;
  readonly kind: string;
  readonly importance: Importance;
  /** Rank of the caller's group, 0 the most urgent; comes before the importance. Default 0. */
  readonly groupRank?: number | undefined;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Monotonic milliseconds until which it may wait; as the controller's options say if absent. */
  readonly waitUntil?: number | undefined;
}

/** Why a call was not let in. Either way it is known not to have run. */
export type AdmissionRefusal = 'overload' | 'deadline' | 'leaving';

/** Told exactly one of the two, possibly before {@link AdmissionController.offer} returns. */
export interface AdmissionListener {
  /** The call may enter the target. The permit must be released once. */
  onAdmitted(permit: AdmissionPermit): void;
  /** The call is refused for good. */
  onRefused(reason: AdmissionRefusal, retryAfterSeconds: number): void;
}

/** The right of one call to be inside the target. */
export interface AdmissionPermit {
  /**
   * The call has left the target.
   * @param outcome how it ended
   * @param nestedMs time it spent waiting for calls it made itself
   */
  release(outcome: SampleOutcome, nestedMs: number): void;
}

/** A call that asked to be let in and has not been answered yet. */
export interface PendingAdmission {
  /** Withdraws a call that still waits. The listener hears nothing more. */
  cancel(): void;
}

/** Numbers that describe a node's load. */
export interface AdmissionStatus {
  readonly limit: number;
  readonly inFlight: number;
  readonly waiting: number;
}

/** What a controller is made of. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limiter: ConcurrencyLimiter;
  readonly order: SharingOrder;
  /** Weight of a share class. */
  readonly shareOf: (shareClass: string) => number;
  /** Sum of the weights of all share classes. */
  readonly totalShare: () => number;
  /** Longest time a call may wait, in milliseconds. */
  readonly queueWaitMs: () => number;
}

/** Keeps a share above nothing, in calls, so that it can be divided by. */
const MIN_SHARE = 1e-9;

class QueuedCall implements WaitingCall, PendingAdmission {
  timer: Timer | undefined;
  readonly shareClass: string;
  readonly importance: Importance;
  readonly groupRank: number;
  readonly waitUntil: number | undefined;

  constructor(
    private readonly controller: AdmissionController,
    readonly request: AdmissionRequest,
    readonly listener: AdmissionListener,
  ) {
    this.shareClass = request.shareClass;
    this.importance = request.importance;
    this.groupRank = request.groupRank ?? 0;
    this.waitUntil = request.waitUntil;
  }

  cancel(): void {
    this.controller.withdraw(this);
  }
}

/** A call when it entered the target. */
interface AdmittedCall {
  readonly kind: string;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Calls in the target then, itself included. */
  readonly inFlight: number;
}

/** Stands for a call that has already been answered. */
const ALREADY_DECIDED: PendingAdmission = {
  cancel: () => {
    // Nothing waits any more.
  },
};

/** See the module comment. One controller guards one target. */
export class AdmissionController {
  private readonly waiting: WaitingCalls<QueuedCall>;
  private inFlight = 0;
  private readonly targetDurations = new TargetDurations();
  private readonly demandRatio = new DemandRatio();

  constructor(private readonly options: AdmissionOptions) {
    this.waiting = new WaitingCalls<QueuedCall>(
      options.order,
      (state, extraCalls) => this.shareUse(state, extraCalls),
      () => new ShareClassUsage(),
    );
  }

  /** The present load. */
  status(): AdmissionStatus {
    return {
      limit: this.options.limiter.limit,
      inFlight: this.inFlight,
      waiting: this.waiting.size,
    };
  }

  /** Asks for a call to be let in. */
  offer(request: AdmissionRequest, listener: AdmissionListener): PendingAdmission {
    const now = this.options.clock.now();
    this.demandRatio.onOffered(now);
    if (request.deadlineAt <= now) {
      listener.onRefused('deadline', NO_RETRY_AFTER);
      return ALREADY_DECIDED;
    }
    if (this.waiting.size === 0 && this.inFlight < this.options.limiter.limit) {
      this.admit(request, listener);
      return ALREADY_DECIDED;
    }
    return this.enqueue(request, listener, now);
  }

  /** Withdraws a waiting call. Called through {@link PendingAdmission.cancel}. */
  withdraw(call: QueuedCall): void {
    if (!this.waiting.remove(call)) return;
    call.timer?.cancel();
  }

  /** Refuses every waiting call: the target takes none any more. */
  refuseWaiting(): void {
    for (
      let call = this.waiting.takeLowestPriority();
      call !== undefined;
      call = this.waiting.takeLowestPriority()
    ) {
      call.timer?.cancel();
      call.listener.onRefused('leaving', NO_RETRY_AFTER);
    }
  }

  /** Lets waiting calls in while there is room. Needed when the limit may have grown. */
  dispatch(): void {
    while (this.inFlight < this.options.limiter.limit) {
      const call = this.waiting.takeNext();
      if (call === undefined) return;
      call.timer?.cancel();
      this.admitUnlessExpired(call);
    }
  }

  /** A process that was frozen may find calls whose deadline passed meanwhile: they must not run. */
  private admitUnlessExpired(call: QueuedCall): void {
    if (call.request.deadlineAt <= this.options.clock.now()) {
      call.listener.onRefused('deadline', NO_RETRY_AFTER);
      return;
    }
    this.admit(call.request, call.listener);
  }

  private enqueue(
    request: AdmissionRequest,
    listener: AdmissionListener,
    now: number,
  ): PendingAdmission {
    const decision = decideWait(this.waitRequest(request, now), this.options.queueWaitMs());
    if (decision.type === 'refused') {
      listener.onRefused(decision.reason, this.retryAfterSeconds());
      return ALREADY_DECIDED;
    }
    const call = new QueuedCall(this, request, listener);
    this.waiting.add(call);
    call.timer = this.options.clock.schedule(decision.maxWaitMs, () => this.onWaitTimeout(call));
    if (this.waiting.size > this.queueCapacity()) this.refuseLowestPriority();
    return call;
  }

  private waitRequest(request: AdmissionRequest, now: number): WaitRequest {
    const { importance, deadlineAt, waitUntil } = request;
    return {
      importance,
      remainingMs: deadlineAt - now,
      requestedWaitMs: waitUntil === undefined ? undefined : waitUntil - now,
      expectedDurationMs: this.expectedDurationMs(request),
    };
  }

  /** Time in the target that a call needs; a kind that was not answered yet is given the benefit. */
  private expectedDurationMs({ kind }: AdmissionRequest): number {
    return this.targetDurations.meanOf(kind) ?? 0;
  }

  private queueCapacity(): number {
    const { limiter, queueWaitMs } = this.options;
    return queueCapacity(limiter.limit, this.targetDurations.meanMs, queueWaitMs());
  }

  private onWaitTimeout(call: QueuedCall): void {
    if (!this.waiting.remove(call)) return;
    const remainingMs = call.request.deadlineAt - this.options.clock.now();
    const reason = waitTimeoutReason(remainingMs, this.expectedDurationMs(call.request));
    call.listener.onRefused(reason, this.retryAfterSeconds());
  }

  private refuseLowestPriority(): void {
    const victim = this.waiting.takeLowestPriority();
    if (victim === undefined) return;
    victim.timer?.cancel();
    victim.listener.onRefused('overload', this.retryAfterSeconds());
  }

  private admit(request: AdmissionRequest, listener: AdmissionListener): void {
    const startedAt = this.options.clock.now();
    this.inFlight += 1;
    this.demandRatio.onAdmitted();
    const { usage } = this.waiting.shareClass(request.shareClass);
    usage.change(1, startedAt);
    const admitted: AdmittedCall = { kind: request.kind, startedAt, inFlight: this.inFlight };
    let released = false;
    listener.onAdmitted({
      release: (outcome, nestedMs) => {
        if (released) return;
        released = true;
        const now = this.options.clock.now();
        this.inFlight -= 1;
        usage.change(-1, now);
        this.recordSample(admitted, now, outcome, nestedMs);
        this.dispatch();
      },
    });
  }

  private recordSample(
    { kind, startedAt, inFlight }: AdmittedCall,
    now: number,
    outcome: SampleOutcome,
    nestedMs: number,
  ): void {
    const durationMs = now - startedAt;
    if (outcome === 'answered') this.targetDurations.onAnswered(kind, durationMs);
    const latencyMs = Math.max(0, durationMs - nestedMs);
    const sample = { kind, latencyMs, durationMs, inFlight, startedAt, outcome };
    this.options.limiter.onSample(sample, now);
  }

  /** How much of its share a class uses; room in the queue counts where calls that wait do. */
  private shareUse(state: ShareClassState<QueuedCall>, extraCalls: number): number {
    const { limiter, shareOf, totalShare, clock } = this.options;
    const capacity = limiter.limit + (extraCalls > 0 ? this.queueCapacity() : 0);
    const share = (shareOf(state.name) / totalShare()) * capacity;
    return (state.usage.use(clock.now()) + extraCalls) / Math.max(share, MIN_SHARE);
  }

  /** Seconds for `Retry-After`, by how much more is offered than let in. */
  private retryAfterSeconds(): number {
    return notAdmittedSeconds(this.demandRatio.current(), this.options.random);
  }
}
