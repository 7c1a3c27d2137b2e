/**
 * One call from an edge, a node or a sidecar to a service: early refusal, choice of the endpoint, attempts, end at the
 * deadline. Carries out what the rules decide: the throttle whether it is sent at all, the balancer where to,
 * retry-policy.ts whether it is sent again, hedged or given up, call-refusal.ts what the caller is told then.
 *
 * Owns the way of one call from its start to its one result. Relies on the transport, clock and balancer passed in, and
 * opens no socket itself.
 */
import type { Timer } from '../common/clock.js';
import {
  decideHedge,
  decideNextStep,
  type FailedAttempt,
  type RetryFunds,
} from '../retry/retry-policy.js';
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import type { EndpointPick } from '../routing/balancer.js';
import { brokenAttempt, isTargetDown, refusedAttempt, resultOf } from './attempt-end.js';
import { Attempts, SentAttempt } from './attempts.js';
import { CallLearning } from './call-learning.js';
import {
  BODY_BROKE_OFF,
  CONNECTION_BROKE,
  DEADLINE_BEFORE_SENDING,
  DEADLINE_PASSED,
  gateRefused,
  NO_TARGET,
  PROCESS_ENDING,
  type RefusalCause,
  refusalFor,
  THROTTLED,
} from './call-refusal.js';
import { HedgeTimer } from './hedge-timer.js';
import type {
  OutboundListener,
  OutboundRequest,
  OutboundResult,
  OutboundServices,
} from './outbound-request.js';
import type { Outcome } from '../call/outcome.js';
import type {
  AnswerHead,
  AttemptFailure,
  HeadDecision,
  OutboundTransport,
} from '../call/transport.js';

export class OutboundCall {
  private readonly tried = new Set<string>();
  private readonly attempts = new Attempts();
  private readonly learned: CallLearning;
  private readonly hedgeTimer: HedgeTimer;
  private deadlineTimer: Timer | undefined;
  private reroutes = 0;
  private answerBegan = false;
  private finished = false;

  constructor(
    private readonly request: OutboundRequest,
    private readonly services: OutboundServices,
    private readonly transport: OutboundTransport,
    private readonly listener: OutboundListener,
  ) {
    this.learned = new CallLearning(request.trafficClass, services.throttle, services.clock);
    this.hedgeTimer = new HedgeTimer(request, services, transport, () => this.onAnswerLate());
  }

  /** Ids of the nodes that the call was sent to, in order. */
  get attempted(): string[] {
    return [...this.tried];
  }

  /** Starts the call. The listener may hear the result before this returns. */
  start(): void {
    const { clock, throttle, budget } = this.services;
    const now = clock.now();
    if (this.request.deadlineAt <= now) {
      this.refuse(DEADLINE_BEFORE_SENDING);
      return;
    }
    if (this.request.throttled !== false && !throttle.admit(this.request.trafficClass, now)) {
      this.learned.onThrottled();
      this.refuse(THROTTLED);
      return;
    }
    budget.onFirstAttempt(this.request.retryRatio);
    this.deadlineTimer = clock.schedule(this.request.deadlineAt - now, () =>
      this.giveUp(DEADLINE_PASSED),
    );
    this.sendAttempt();
  }

  /** The caller went away: stops everything below. The listener hears nothing more. */
  cancel(): void {
    if (this.finished) return;
    this.finished = true;
    this.cancelTimers();
    this.attempts.cancelAll('cancelled');
  }

  /** This process is about to end: gives the call up with a final answer. */
  endWithProcess(): void {
    this.giveUp(PROCESS_ENDING);
  }

  private sendAttempt(): void {
    const pick = this.pickTarget();
    if (pick === undefined) this.refuse(NO_TARGET);
    else this.sendTo(pick, { isHedge: false });
  }

  private pickTarget(): EndpointPick | undefined {
    return this.services.balancer.pick(this.tried, this.request.trafficClass);
  }

  private sendTo(pick: EndpointPick, { isHedge }: { isHedge: boolean }): void {
    this.tried.add(pick.endpoint.id);
    this.hedgeTimer.watchNext();
    const sent = new SentAttempt(pick, this.request.allowance.lend());
    this.attempts.begin(sent, isHedge);
    const transported = this.transport.send(
      pick.endpoint,
      { retries: sent.loan.amount, isRepeat: this.learned.isNextRepeat },
      {
        onHead: (head) => this.onHead(sent, head),
        onEnd: () => this.finish({ type: 'relayed', ...this.learned.report() }),
        onFailure: (failure) => this.onFailure(sent, failure),
      },
    );
    sent.onSent(transported);
  }

  /** No answer has begun for much longer than usual: asks another target too, if one is left. */
  private onAnswerLate(): void {
    if (this.finished || this.answerBegan || this.attempts.isHedged) return;
    const pick = this.pickTarget();
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
    if (this.attempts.isLatestWritten) this.learned.onMayHaveArrived();
    this.sendTo(pick, { isHedge: true });
  }

  private onHead(sent: SentAttempt, head: AnswerHead): HeadDecision {
    const { outcome } = head;
    if (outcome?.refusal === undefined) {
      this.onAnswer(sent, head);
      return 'relay';
    }
    if (this.attempts.isHedged) this.onOneRefused(sent, outcome);
    else this.onRefusal(sent, outcome);
    return 'discard';
  }

  /** A target answers: what it says is passed on, and the call is not sent again. */
  private onAnswer(sent: SentAttempt, head: AnswerHead): void {
    const { outcome } = head;
    this.attempts.keepOnly(sent);
    this.hedgeTimer.cancel();
    if (outcome !== undefined) this.learned.onOutcome(outcome);
    sent.loan.settle(outcome?.unspentRetries ?? 0);
    this.answerBegan = true;
    this.learned.onAnswer(head);
    sent.end('answered', outcome);
  }

  /** The gate of the only attempt under way refused it. */
  private onRefusal(sent: SentAttempt, outcome: Outcome): void {
    this.hedgeTimer.cancel();
    this.learned.onOutcome(outcome);
    sent.loan.settle(outcome.unspentRetries);
    sent.end(resultOf(outcome), outcome);
    this.learnRefusal(sent.endpoint, outcome);
    this.continueAfter(refusedAttempt(outcome), gateRefused(outcome));
  }

  /** One of two attempts under way was refused by its gate: the other one goes on, whichever it is. */
  private onOneRefused(sent: SentAttempt, outcome: Outcome): void {
    this.learnRefusal(sent.endpoint, outcome);
    if (this.attempts.isFirst(sent)) {
      this.attempts.dropFirst();
      return;
    }
    sent.loan.settle(outcome.unspentRetries);
    this.returnToFirst('answered', outcome);
  }

  private learnRefusal(endpoint: EndpointRecord, outcome: Outcome): void {
    const isGone = outcome.refusal === 'leaving' || isTargetDown(outcome);
    if (isGone) this.services.balancer.markLeaving(endpoint);
    this.learned.onRefusal(outcome);
  }

  private onFailure(sent: SentAttempt, failure: AttemptFailure): void {
    const isCallerGone = failure.reason === 'caller-gone';
    // Not counted, one of two attempts that broke after it was written let the call end as not run.
    if (failure.written) this.learned.onMayHaveArrived();
    if (this.attempts.isFirst(sent)) this.attempts.dropFirst();
    else if (this.attempts.isHedged && !isCallerGone) this.returnToFirst('failed');
    else this.onOnlyFailure(sent, failure);
  }

  private onOnlyFailure(sent: SentAttempt, failure: AttemptFailure): void {
    if (this.answerBegan) {
      this.finish({ type: 'broken', verdict: this.learned.verdict });
      return;
    }
    const isCallerGone = failure.reason === 'caller-gone';
    if (failure.written) sent.loan.settleLost();
    else sent.loan.settleUnused();
    sent.end(isCallerGone ? 'cancelled' : 'failed');
    if (this.attempts.isFirstWritten) this.learned.onMayHaveArrived();
    if (isCallerGone) this.refuse(BODY_BROKE_OFF);
    else this.continueAfter(brokenAttempt(failure), CONNECTION_BROKE);
  }

  /** The second of two attempts is over, and the first one is waited for alone, without another hedge. */
  private returnToFirst(result: EndpointResult, outcome?: Outcome): void {
    this.attempts.dropSecond(result, outcome);
    this.hedgeTimer.cancel();
  }

  /** Sends another attempt where that is allowed, else refuses the call. */
  private continueAfter(failed: FailedAttempt, cause: RefusalCause): void {
    const step = decideNextStep(failed, {
      repeatable: this.request.repeatable,
      replayable: this.transport.replayable,
      reroutes: this.reroutes,
      maxOverloadReroutes: this.request.overloadReroutes ?? 0,
      remainingMs: this.request.deadlineAt - this.services.clock.now(),
      ...this.retryFunds(),
    });
    if (step.type === 'give-up') {
      this.refuse(cause);
      return;
    }
    if (step.type === 'retry') this.spendRetry();
    else this.reroutes += 1;
    this.sendAttempt();
  }

  private retryFunds(): RetryFunds {
    const { allowance } = this.request;
    return { retriesLeft: allowance.available, hasBudget: this.services.budget.hasRetry };
  }

  /** Takes one retry from the request's allowance and from the budget of this process. */
  private spendRetry(): void {
    this.services.budget.spend();
    this.request.allowance.spend();
  }

  /** Ends the call whatever is under way. */
  private giveUp(cause: RefusalCause): void {
    if (this.finished) return;
    const isWritten = this.attempts.isAnyWritten;
    this.attempts.cancelAll('failed');
    if (this.answerBegan) {
      this.finish({ type: 'broken', verdict: this.learned.verdict });
      return;
    }
    if (isWritten) this.learned.onMayHaveArrived();
    this.refuse(cause);
  }

  private refuse(cause: RefusalCause): void {
    const { throttle, clock } = this.services;
    const refusal = refusalFor(cause, this.learned.verdict, () =>
      throttle.pressure(this.request.trafficClass, clock.now()),
    );
    this.finish({ type: 'refused', refusal, ...this.learned.report() });
  }

  private finish(result: OutboundResult): void {
    if (this.finished) return;
    this.finished = true;
    this.cancelTimers();
    this.attempts.dropFirst();
    this.listener(result);
  }

  private cancelTimers(): void {
    this.deadlineTimer?.cancel();
    this.hedgeTimer.cancel();
  }
}
