/**
 * Admission control for one target: admits a call at once, queues it, or refuses it. The concurrency limiter sets how many
 * calls may be in flight, the rate limiter how many are sent per second, `queue-wait.ts` how long and how many calls may wait,
 * and the sharing order which waiting call is admitted or refused next. Free of I/O: the clock and the random source are
 * injected.
 */
import type { Clock, Timer } from '../common/clock.js';
import type { RandomSource } from '../common/random.js';
import type { Importance } from '../policy/importance.js';
import type { ConcurrencyLimiter, SampleOutcome } from './concurrency-limiter.js';
import { TargetDurations } from './target-durations.js';
import { ShareClassUsage } from './share-class-usage.js';
import type { SharingOrder } from './sharing-policy.js';
import { DemandRatio } from './demand-ratio.js';
import { decideWait, queueCapacity, waitTimeoutReason, type WaitRequest } from './queue-wait.js';
import { WaitingCalls, type ShareClassState, type WaitingCall } from './waiting-calls.js';
import { MS_PER_SECOND } from '../common/units.js';
import { NO_RETRY_AFTER, notAdmittedSeconds } from '../call/retry-after.js';
import type { CallPriority } from './call-priority.js';
import type { CallerKey, TargetRateLimiter } from './target-rate-limiter.js';

/** A call that requests admission. */
export interface AdmissionRequest {
  /** Class whose calls together are entitled to a share of the target's slots. */
  readonly shareClass: string;
  readonly kind: string;
  readonly importance: Importance;
  /** Rank of the caller's group, 0 the most urgent; takes precedence over the importance. Default 0. */
  readonly groupRank?: number | undefined;
  /** Priority under the rate limit of the target. */
  readonly priority: CallPriority;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  /** Monotonic milliseconds until which the call may wait. Default: by {@link AdmissionOptions.queueWaitMs}. */
  readonly waitUntil?: number | undefined;
}

/** Why a call was refused. In each case the call has not run. */
export type AdmissionRefusal = 'overload' | 'deadline' | 'leaving' | 'target-rate-limit';

/** Exactly one of the callbacks is called, possibly before {@link AdmissionController.offer} returns. */
export interface AdmissionListener {
  /** The call may be sent to the target. The permit must be released once. */
  onAdmitted(permit: AdmissionPermit): void;
  /** The call is refused. @param retryAfterSeconds delay for `Retry-After`; 0 for none */
  onRefused(reason: AdmissionRefusal, retryAfterSeconds: number): void;
}

/** Allows one call to be in flight at the target. */
export interface AdmissionPermit {
  /**
   * Reports the end of the call; later calls of this method are ignored.
   * @param outcome how the call ended
   * @param nestedMs time that the call spent waiting for its own nested calls, in milliseconds
   */
  release(outcome: SampleOutcome, nestedMs: number): void;
}

/** A call whose admission is not decided yet. */
export interface PendingAdmission {
  /** Removes the call from the queue. Its listener is not called any more. */
  cancel(): void;
}

/** Current load of a target. */
export interface AdmissionStatus {
  readonly limit: number;
  readonly inFlight: number;
  readonly waiting: number;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limiter: ConcurrencyLimiter;
  /** Limits the rate of admitted calls. A call that it refuses does not wait: another target may have room. */
  readonly rateLimiter: TargetRateLimiter;
  readonly order: SharingOrder;
  /** Weight of a share class; its share is the weight divided by {@link AdmissionOptions.totalShare}. */
  readonly shareOf: (shareClass: string) => number;
  /** Sum of the weights of all share classes. */
  readonly totalShare: () => number;
  /** Time that a call may wait, in milliseconds; `queue-wait.ts` extends it by importance. */
  readonly queueWaitMs: () => number;
}

/** Lower bound of a share in calls; prevents a division by zero. */
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

/** State of a call at its admission. */
interface AdmittedCall {
  readonly kind: string;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Calls in flight at that time, including this one. */
  readonly inFlight: number;
}

/** Returned for a call that was admitted or refused at once. */
const ALREADY_DECIDED: PendingAdmission = {
  cancel: () => {
    // The call is not in the queue.
  },
};

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

  status(): AdmissionStatus {
    return {
      limit: this.options.limiter.limit,
      inFlight: this.inFlight,
      waiting: this.waiting.size,
    };
  }

  /**
   * Time after which a caller should send the next call of this priority, in milliseconds; 0 if it may at once.
   * See {@link TargetRateLimiter.msUntilReturn}.
   */
  msUntilReturn(priority: CallPriority, caller: CallerKey): number {
    return this.options.rateLimiter.msUntilReturn(priority, caller);
  }

  /** Admits, queues or refuses a call; the decision is reported to the listener. */
  offer(request: AdmissionRequest, listener: AdmissionListener): PendingAdmission {
    const now = this.options.clock.now();
    if (this.options.rateLimiter.msUntilPermit(request.priority) > 0) {
      this.refuseForRate(request, listener);
      return ALREADY_DECIDED;
    }
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

  /** Removes a waiting call from the queue; see {@link PendingAdmission.cancel}. */
  withdraw(call: QueuedCall): void {
    if (!this.waiting.remove(call)) return;
    call.timer?.cancel();
  }

  /** Refuses every waiting call because the target is shutting down. */
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

  /** Admits waiting calls up to the limit. Must be called when the limit may have risen. */
  dispatch(): void {
    while (this.inFlight < this.options.limiter.limit) {
      const call = this.waiting.takeNext();
      if (call === undefined) return;
      call.timer?.cancel();
      this.admitUnlessExpired(call);
    }
  }

  private refuseForRate({ priority }: AdmissionRequest, listener: AdmissionListener): void {
    const waitMs = this.options.rateLimiter.onRefused(priority);
    listener.onRefused('target-rate-limit', waitMs / MS_PER_SECOND);
  }

  /** Refuses a call whose deadline passed while timers were delayed, for example in a suspended process. */
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

  /** Expected duration of a call in the target; 0 for a kind without an answered call. */
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
    if (!this.options.rateLimiter.tryAcquire(request.priority)) {
      this.refuseForRate(request, listener);
      return;
    }
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

  /** Usage of a class relative to its share. If waiting calls are counted, the share includes the queue capacity. */
  private shareUse(state: ShareClassState<QueuedCall>, extraCalls: number): number {
    const { limiter, shareOf, totalShare, clock } = this.options;
    const capacity = limiter.limit + (extraCalls > 0 ? this.queueCapacity() : 0);
    const share = (shareOf(state.name) / totalShare()) * capacity;
    return (state.usage.use(clock.now()) + extraCalls) / Math.max(share, MIN_SHARE);
  }

  /** Delay for `Retry-After` in seconds, based on the ratio of offered to admitted calls. */
  private retryAfterSeconds(): number {
    return notAdmittedSeconds(this.demandRatio.current(), this.options.random);
  }
}
