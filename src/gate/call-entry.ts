/**
 * The rules that a call passes on its way into the target, in the order in which they are asked. Each ends the call with
 * one typed refusal (`gate-refusals.ts`), or lets it on. Owns what the call holds while it is let in: its part of the
 * limit by kind and of the retry budget, its permit, and its claim. Pure: clock, admission and claims are injected.
 *
 * A gate asks three rules before there is a call, in `arrival-rules.ts`: whether there is a target, whether it is of the
 * service that was meant, and whether the request is in quarantine. Then, here:
 *
 * 1. Leaving, first: a process that stops must not begin what it can't finish.
 * 2. Slow target: a call that the target can't be expected to answer is to go elsewhere at once.
 * 3. Limit by kind, before the queue: what it keeps out is to go elsewhere at once and not to wait first.
 * 4. Retry budget, after the rules that set nothing aside: a repeat that it lets in counts until it arrives or ends.
 * 5. Admission: a slot of the target, at once or after a wait. The call holds a permit from here on, and its deadline is
 *    watched.
 * 6. Claim of the idempotency key, last: a claimed key says that its call may have run, so only a call that is about to be
 *    sent claims one.
 */
import type {
  AdmissionPermit,
  AdmissionRefusal,
  PendingAdmission,
} from '../admission/admission-controller.js';
import type { SampleOutcome } from '../admission/concurrency-limiter.js';
import type { CallContext } from '../call/call-context.js';
import type { ClaimDecision, ClaimHandle } from '../dedup/claim.js';
import type { CallHooks } from './call-rules.js';
import {
  claimRefusal,
  kindLimitRefusal,
  leavingRefusal,
  notAdmittedRefusal,
  retryBudgetRefusal,
  slowTargetRefusal,
  type GateRefusal,
} from './gate-refusals.js';
import type { InboundServices } from './inbound-services.js';

/** Told how far the call gets, possibly before {@link CallAdmission.start} returns. */
interface CallAdmissionListener {
  /** The call holds a permit. @param wasDelayed whether its wait counts as congestion */
  onAdmitted(wasDelayed: boolean): void;
  /** Every rule has let the call in: it is to be sent now. */
  onReady(): void;
  /** A rule has refused the call. Nothing follows. */
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

  /** The claim of the call's key, to be told what becomes of the call. */
  get claim(): ClaimHandle | undefined {
    return this.heldClaim;
  }

  /** When the permit was given, in milliseconds of the clock. */
  get admittedAt(): number {
    return this.permitAt;
  }

  /** Asks the rules in their order. */
  start(): void {
    const refusal =
      this.checkLeaving() ??
      this.checkSlowTarget() ??
      this.checkKindLimit() ??
      this.checkRetryBudget();
    if (refusal === undefined) this.requestPermit();
    else this.listener.onRefused(refusal);
  }

  /** Gives up waiting for a permit. */
  cancelWait(): void {
    this.pending?.cancel();
  }

  /** Gives back what the call holds, but for its claim. Further calls do nothing. */
  release(outcome: SampleOutcome, nestedMs: number): void {
    this.hooks.release();
    const { permit } = this;
    this.permit = undefined;
    permit?.release(outcome, nestedMs);
  }

  /** The call is over: a decision on its claim that comes later counts no more. */
  close(): void {
    this.isClosed = true;
  }

  private checkLeaving(): GateRefusal | undefined {
    return this.services.isLeaving(this.context.kind) ? leavingRefusal() : undefined;
  }

  private checkSlowTarget(): GateRefusal | undefined {
    return this.hooks.isTargetResponsive() ? undefined : slowTargetRefusal();
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
    this.pending = this.services.admission.offer(
      { shareClass, groupRank, kind, importance, deadlineAt, waitUntil },
      {
        onAdmitted: (permit) => this.onAdmitted(permit),
        onRefused: (reason, retryAfterSeconds) => this.onNotAdmitted(reason, retryAfterSeconds),
      },
    );
  }

  private onNotAdmitted(reason: AdmissionRefusal, retryAfterSeconds: number): void {
    if (reason !== 'leaving') this.hooks.onNotAdmitted();
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
