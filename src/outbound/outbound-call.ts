/**
 * One call from an edge, a node or a sidecar to a service, from its start to its single result. The throttle decides whether
 * it is sent, the balancer where to, `retry-policy.ts` whether it is retried, rerouted, hedged or given up, and
 * `call-refusal.ts` what is returned to the caller then. Opens no sockets itself; the transport is passed in.
 */
import type { Timer } from '../common/clock.js';
import {
  decideHedge,
  decideNextStep,
  GiveUpReason,
  type FailedAttempt,
  type RetryLimitState,
} from '../retry/retry-policy.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import type { EndpointPick } from '../routing/balancer.js';
import { brokenAttempt, isTargetDown, refusedAttempt, toEndpointResult } from './attempt-end.js';
import { ActiveAttempts, SentAttempt } from './active-attempts.js';
import { CallFeedback } from './call-feedback.js';
import {
  BODY_INCOMPLETE,
  CONNECTION_LOST,
  DEADLINE_BEFORE_SENDING,
  DEADLINE_PASSED,
  gateRefusalCause,
  NO_TARGET,
  PROCESS_STOPPING,
  type RefusalCause,
  createRefusal,
  targetRateLimitCause,
  THROTTLED,
} from './call-refusal.js';
import { HedgeTimer } from './hedge-timer.js';
import { TurnAways } from './turn-aways.js';
import type {
  OutboundListener,
  OutboundRequest,
  OutboundResult,
  OutboundDependencies,
} from './outbound-request.js';
import type { Outcome } from '../call/outcome.js';
import type {
  AnswerHead,
  AttemptFailure,
  HeadDecision,
  OutboundTransport,
} from '../call/transport.js';

export class OutboundCall {
  private readonly triedEndpointIds = new Set<string>();
  private readonly attempts = new ActiveAttempts();
  private readonly feedback: CallFeedback;
  private readonly hedgeTimer: HedgeTimer;
  private deadlineTimer: Timer | undefined;
  private reroutes = 0;
  private readonly turnAways: TurnAways;
  private hasAnswerStarted = false;
  private isFinished = false;

  constructor(
    private readonly request: OutboundRequest,
    private readonly dependencies: OutboundDependencies,
    private readonly transport: OutboundTransport,
    private readonly listener: OutboundListener,
  ) {
    this.feedback = new CallFeedback(
      request.trafficClass,
      dependencies.throttle,
      dependencies.clock,
    );
    this.turnAways = new TurnAways({
      repeatable: request.repeatable,
      replayable: transport.replayable,
    });
    this.hedgeTimer = new HedgeTimer(request, dependencies, transport, () =>
      this.sendHedgedRequest(),
    );
  }

  /** Ids of the nodes that the call was sent to, in order. */
  get attemptedEndpointIds(): string[] {
    return [...this.triedEndpointIds];
  }

  /** Starts the call. The listener may be called before this returns. */
  start(): void {
    const { clock, throttle, budget } = this.dependencies;
    const now = clock.now();
    if (this.request.deadlineAt <= now) {
      this.refuse(DEADLINE_BEFORE_SENDING);
      return;
    }
    if (this.request.throttled !== false && !throttle.shouldSend(this.request.trafficClass, now)) {
      this.feedback.onThrottled();
      this.refuse(THROTTLED);
      return;
    }
    budget.onFirstAttempt(this.request.retryRatio);
    this.deadlineTimer = clock.schedule(this.request.deadlineAt - now, () =>
      this.giveUp(DEADLINE_PASSED),
    );
    this.sendAttempt();
  }

  /** Cancels the call and its attempts because the caller has gone. The listener is not called any more. */
  cancel(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.cancelTimers();
    this.attempts.cancelAll('cancelled');
  }

  /** Ends the call with a refusal because this process is about to exit. */
  endWithProcess(): void {
    this.giveUp(PROCESS_STOPPING);
  }

  private sendAttempt(): void {
    const pick = this.pickTarget(this.isHedgedInTime);
    if (pick !== undefined) this.sendTo(pick, { isHedge: false });
    else this.returnOrRefuse(this.noTargetCause());
  }

  /** Sends the call back to the endpoint that turned it away, if no other one has run it; otherwise refuses it. */
  private returnOrRefuse(cause: RefusalCause): void {
    const isUnrun = this.feedback.verdict === 'not-run';
    const endpointId = isUnrun ? this.turnAways.takeReturn(this.remainingMs) : undefined;
    if (endpointId === undefined) {
      this.refuse(cause);
      return;
    }
    this.triedEndpointIds.delete(endpointId);
    this.sendAttempt();
  }

  /** @param isHedged whether another target can still answer if the chosen one takes too long */
  private pickTarget(isHedged: boolean): EndpointPick | undefined {
    const { trafficClass, priority, repeatable } = this.request;
    const mustFitMs = isHedged ? undefined : this.remainingMs;
    return this.dependencies.balancer.pick(this.triedEndpointIds, {
      trafficClass,
      priority,
      repeatable,
      mustFitMs,
    });
  }

  /** Whether the next attempt is hedged early enough for another target to answer. */
  private get isHedgedInTime(): boolean {
    const delayMs = this.hedgeTimer.delayMs();
    if (delayMs === undefined) return false;
    const usualMs = this.dependencies.balancer.baselineLatencyMs(this.request.trafficClass) ?? 0;
    return delayMs + usualMs <= this.remainingMs;
  }

  /** Milliseconds left until the deadline. */
  private get remainingMs(): number {
    return this.request.deadlineAt - this.dependencies.clock.now();
  }

  private noTargetCause(): RefusalCause {
    const pausedMs = this.dependencies.balancer.pausedForMs(this.request.priority);
    return pausedMs === undefined ? NO_TARGET : targetRateLimitCause(pausedMs);
  }

  private sendTo(pick: EndpointPick, { isHedge }: { isHedge: boolean }): void {
    this.triedEndpointIds.add(pick.endpoint.id);
    this.hedgeTimer.restart();
    const sent = new SentAttempt(pick, this.request.allowance.lend());
    this.attempts.begin(sent, isHedge);
    const transportAttempt = this.transport.send(
      pick.endpoint,
      {
        retries: sent.loan.amount,
        isRepeat: this.feedback.isNextRepeat,
        isReroutable:
          pick.hasAlternative &&
          this.turnAways.mayBeTurnedAway(this.triedEndpointIds.size, this.remainingMs),
      },
      {
        onHead: (head) => this.onHead(sent, head),
        onEnd: () => this.finish({ type: 'relayed', ...this.feedback.report() }),
        onFailure: (failure) => this.onFailure(sent, failure),
      },
    );
    sent.onSent(transportAttempt);
  }

  /** Sends a hedged request to another target, if one is left and the retry budget allows it. */
  private sendHedgedRequest(): void {
    if (this.isFinished || this.hasAnswerStarted || this.attempts.isHedged) return;
    const pick = this.pickTarget(false);
    if (pick === undefined) return;
    const decision = decideHedge({
      targetAcceptsRepeats: pick.acceptsRepeats,
      ...this.retryFunds(),
    });
    if (decision.type === 'wait') {
      pick.end('cancelled', undefined);
      return;
    }
    this.spendRetry();
    if (this.attempts.isLatestWritten) this.feedback.onMayHaveArrived();
    this.sendTo(pick, { isHedge: true });
  }

  private onHead(sent: SentAttempt, head: AnswerHead): HeadDecision {
    const { outcome } = head;
    if (outcome?.refusal === undefined) {
      this.onAnswer(sent, head);
      return 'relay';
    }
    if (this.attempts.isHedged) this.onHedgedAttemptRefused(sent, outcome);
    else this.onRefusal(sent, outcome);
    return 'discard';
  }

  /** A target has started to answer: the answer is forwarded, and the call is not sent again. */
  private onAnswer(sent: SentAttempt, head: AnswerHead): void {
    const { outcome } = head;
    this.attempts.keepOnly(sent);
    this.hedgeTimer.cancel();
    if (outcome !== undefined) this.feedback.onOutcome(outcome);
    sent.loan.settle(outcome?.unspentRetries ?? 0);
    this.hasAnswerStarted = true;
    this.feedback.onAnswer(head);
    sent.end('answered', outcome);
  }

  /** The only attempt in flight was refused by a gate. */
  private onRefusal(sent: SentAttempt, outcome: Outcome): void {
    this.hedgeTimer.cancel();
    this.feedback.onOutcome(outcome);
    sent.loan.settle(outcome.unspentRetries);
    sent.end(toEndpointResult(outcome), outcome);
    this.recordRefusal(sent.endpoint, outcome);
    if (outcome.refusal === 'target-slowed') this.turnAways.onTurnedAway(sent.endpoint.id);
    this.continueAfter(refusedAttempt(outcome), gateRefusalCause(outcome));
  }

  /** One of two attempts in flight was refused by a gate: the other one continues. */
  private onHedgedAttemptRefused(sent: SentAttempt, outcome: Outcome): void {
    this.recordRefusal(sent.endpoint, outcome);
    if (this.attempts.isFirst(sent)) {
      this.attempts.dropFirst();
      return;
    }
    sent.loan.settle(outcome.unspentRetries);
    this.continueWithFirst(toEndpointResult(outcome), outcome);
    if (outcome.refusal !== 'target-rate-limit') return;
    this.request.allowance.refund();
    this.sendHedgedRequest();
  }

  private recordRefusal(endpoint: EndpointRecord, outcome: Outcome): void {
    const isGone = outcome.refusal === 'leaving' || isTargetDown(outcome);
    if (isGone) this.dependencies.balancer.markLeaving(endpoint);
    this.feedback.onRefusal(outcome);
  }

  private onFailure(sent: SentAttempt, failure: AttemptFailure): void {
    const isCallerGone = failure.reason === 'caller-gone';
    // Also for one of two attempts: otherwise the call could end with the verdict `not-run` although this one may have run.
    if (failure.written) this.feedback.onMayHaveArrived();
    if (this.attempts.isFirst(sent)) this.attempts.dropFirst();
    else if (this.attempts.isHedged && !isCallerGone) this.continueWithFirst('failed');
    else this.onSingleAttemptFailure(sent, failure);
  }

  private onSingleAttemptFailure(sent: SentAttempt, failure: AttemptFailure): void {
    if (this.hasAnswerStarted) {
      this.finish({ type: 'broken', verdict: this.feedback.verdict });
      return;
    }
    const isCallerGone = failure.reason === 'caller-gone';
    if (failure.written) sent.loan.settleLost();
    else sent.loan.settleUnused();
    sent.end(isCallerGone ? 'cancelled' : 'failed');
    if (this.attempts.isFirstWritten) this.feedback.onMayHaveArrived();
    if (isCallerGone) this.refuse(BODY_INCOMPLETE);
    else this.continueAfter(brokenAttempt(failure), CONNECTION_LOST);
  }

  /** The second of two attempts has ended: waits for the first one alone, without another hedged request. */
  private continueWithFirst(result: EndpointResult, outcome?: Outcome): void {
    this.attempts.dropSecond(result, outcome);
    this.hedgeTimer.cancel();
  }

  /** Sends another attempt if the retry policy allows it, otherwise refuses the call. */
  private continueAfter(failed: FailedAttempt, cause: RefusalCause): void {
    const step = decideNextStep(failed, {
      repeatable: this.request.repeatable,
      replayable: this.transport.replayable,
      reroutes: this.reroutes,
      maxOverloadReroutes: this.request.overloadReroutes ?? 0,
      remainingMs: this.remainingMs,
      ...this.retryFunds(),
    });
    if (step.type === 'give-up') {
      if (step.reason === GiveUpReason.Dangerous) this.refuse(cause);
      else this.returnOrRefuse(cause);
      return;
    }
    if (step.type === 'retry') this.spendRetry();
    else if (!failed.isTargetSpecific) this.reroutes += 1;
    this.sendAttempt();
  }

  private retryFunds(): RetryLimitState {
    const { allowance } = this.request;
    return { retriesLeft: allowance.available, hasBudget: this.dependencies.budget.hasRetry };
  }

  /** Takes one retry from the allowance of the request and from the budget of this process. */
  private spendRetry(): void {
    this.dependencies.budget.spend();
    this.request.allowance.spend();
  }

  /** Cancels all attempts and ends the call: as `broken` if an answer has started, otherwise with a refusal. */
  private giveUp(cause: RefusalCause): void {
    if (this.isFinished) return;
    const isWritten = this.attempts.isAnyWritten;
    this.attempts.cancelAll('failed');
    if (this.hasAnswerStarted) {
      this.finish({ type: 'broken', verdict: this.feedback.verdict });
      return;
    }
    if (isWritten) this.feedback.onMayHaveArrived();
    this.refuse(cause);
  }

  private refuse(cause: RefusalCause): void {
    const { throttle, clock } = this.dependencies;
    const refusal = createRefusal(cause, this.feedback.verdict, () =>
      throttle.demandRatio(this.request.trafficClass, clock.now()),
    );
    this.finish({ type: 'refused', refusal, ...this.feedback.report() });
  }

  private finish(result: OutboundResult): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.cancelTimers();
    this.attempts.dropFirst();
    this.listener(result);
  }

  private cancelTimers(): void {
    this.deadlineTimer?.cancel();
    this.hedgeTimer.cancel();
  }
}
