/**
 * Admits one inbound call to the target. Runs the checks below in order; the first that fails ends
 * the call with one typed refusal (`gate/gate-refusals.ts`). Holds what the call has acquired: its
 * place in the limit by kind and in the retry budget, its permit, and its claim. Pure: clock,
 * admission and claims are injected.
 *
 * A gate runs further checks before it starts a call (`gate/arrival-checks.ts`). The checks here:
 *
 * 1. Leaving: a process that is stopping must not start calls that it cannot finish.
 * 2. Slow target: a call that the target is not expected to answer is refused at once, so that its
 *    caller can send it elsewhere.
 *    So is a call whose caller has another target, while this one is slowed down and a long run would
 *    exceed the deadline.
 * 3. Limit by kind: before the queue, so that a call is not refused after it has already waited.
 * 4. Retry budget: after the checks above, so that repeats that they refuse are not charged. A
 *    charged repeat is refunded if it is never sent to the target.
 * 5. Admission controller: the rate limit that the target announces, then a slot of the target, at
 *    once or after a wait. From here on the call holds a permit, and its deadline timer runs.
 * 6. Idempotency key: last, because a claimed key means that its call may have run. Only a call
 *    that is about to be sent claims one.
 */
import type {
  AdmissionPermit,
  AdmissionRefusal,
  PendingAdmission,
} from '../admission/admission-controller.js';
import { callPriority } from '../admission/call-priority.js';
import type { SampleOutcome } from '../admission/concurrency-limiter.js';
import type { CallContext } from '../call/call-context.js';
import type { ClaimDecision, ClaimHandle } from '../dedup/claim.js';
import type { CallHooks } from './call-hooks.js';
import {
  claimRefusal,
  kindLimitRefusal,
  leavingRefusal,
  notAdmittedRefusal,
  retryBudgetRefusal,
  slowedTargetRefusal,
  slowTargetRefusal,
  type GateRefusal,
} from './gate-refusals.js';
import type { InboundServices } from './inbound-services.js';

/** Notified of the progress of the call, possibly before {@link CallAdmission.start} returns. */
interface CallAdmissionListener {
  /** The call holds a permit. @param wasDelayed whether its wait counts as congestion */
  onAdmitted(wasDelayed: boolean): void;
  /** All checks have passed: the call is to be sent now. */
  onReady(): void;
  /** A check has failed. No further notification follows. */
  onRefused(refusal: GateRefusal): void;
}

export class CallAdmission {
  private readonly startedAt: number;
  private pending: PendingAdmission | undefined;
  private permit: AdmissionPermit | undefined;
  private permitAt = 0;
  private heldClaim: ClaimHandle | undefined;
  private isClosed = false;

  /**
   * @param claimKey scope and idempotency key of a call that may run at most once; undefined for
   *   all other calls
   */
  constructor(
    private readonly context: CallContext,
    private readonly claimKey: string | undefined,
    private readonly services: InboundServices,
    private readonly hooks: CallHooks,
    private readonly listener: CallAdmissionListener,
  ) {
    this.startedAt = services.clock.now();
  }

  /** The claim on the call's idempotency key; undefined if it holds none. */
  get claim(): ClaimHandle | undefined {
    return this.heldClaim;
  }

  /** When the permit was granted, in monotonic milliseconds. */
  get admittedAt(): number {
    return this.permitAt;
  }

  /** Runs the checks in order. */
  start(): void {
    const refusal =
      this.checkLeaving() ??
      this.checkSlowTarget() ??
      this.checkKindLimit() ??
      this.checkRetryBudget();
    if (refusal === undefined) this.requestPermit();
    else this.listener.onRefused(refusal);
  }

  /** Stops waiting for a permit. */
  cancelWait(): void {
    this.pending?.cancel();
  }

  /** Releases what the call holds, except its claim. Further calls have no effect. */
  release(outcome: SampleOutcome, nestedMs: number): void {
    this.hooks.release();
    const { permit } = this;
    this.permit = undefined;
    permit?.release(outcome, nestedMs);
  }

  /** The call has ended: a later decision on its claim is ignored. */
  close(): void {
    this.isClosed = true;
  }

  private checkLeaving(): GateRefusal | undefined {
    return this.services.isLeaving(this.context.kind) ? leavingRefusal() : undefined;
  }

  private checkSlowTarget(): GateRefusal | undefined {
    if (!this.hooks.isTargetResponsive()) return slowTargetRefusal();
    return this.hooks.mayRunNow() ? undefined : slowedTargetRefusal();
  }

  private checkKindLimit(): GateRefusal | undefined {
    const reached = this.hooks.acquireKindLimit();
    return reached === undefined ? undefined : kindLimitRefusal(reached);
  }

  private checkRetryBudget(): GateRefusal | undefined {
    return this.hooks.tryAcquireRetryBudget() ? undefined : retryBudgetRefusal();
  }

  private requestPermit(): void {
    const { group: shareClass, groupRank, kind, importance, deadlineAt, waitUntil } = this.context;
    const priority = callPriority({ isNested: this.hooks.isNested, groupRank, importance });
    this.pending = this.services.admission.offer(
      { shareClass, groupRank, priority, kind, importance, deadlineAt, waitUntil },
      {
        onAdmitted: (permit) => this.onAdmitted(permit),
        onRefused: (reason, retryAfterSeconds) => this.onNotAdmitted(reason, retryAfterSeconds),
      },
    );
  }

  private onNotAdmitted(reason: AdmissionRefusal, retryAfterSeconds: number): void {
    if (reason !== 'leaving' && reason !== 'target-rate-limit') this.hooks.onNotAdmitted();
    this.listener.onRefused(notAdmittedRefusal(reason, retryAfterSeconds));
  }

  private onAdmitted(permit: AdmissionPermit): void {
    this.permit = permit;
    this.permitAt = this.services.clock.now();
    this.listener.onAdmitted(this.hooks.onAdmitted(this.permitAt - this.startedAt));
    this.requestClaim();
  }

  private requestClaim(): void {
    if (this.claimKey === undefined) {
      this.listener.onReady();
      return;
    }
    const { claims } = this.services;
    this.heldClaim = claims.claim(this.claimKey, (decision) => this.onClaim(decision));
  }

  private onClaim(decision: ClaimDecision): void {
    if (this.isClosed) return;
    if (decision.type === 'granted') {
      this.listener.onReady();
      return;
    }
    this.heldClaim = undefined;
    this.listener.onRefused(claimRefusal(decision));
  }
}
