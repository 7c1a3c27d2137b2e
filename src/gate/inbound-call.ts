/**
 * One call through the process beside its target: its admission (`gate/call-admission.ts`), the attempt
 * at the target, and its single result. Pure: transport, clock and admission are injected.
 */
import type { SampleOutcome } from '../admission/concurrency-limiter.js';
import type { CallContext } from '../call/call-context.js';
import type { Outcome } from '../call/outcome.js';
import type { Refusal, RefusalReason } from '../call/refusal.js';
import type {
  AnswerFault,
  AnswerHead,
  Attempt,
  AttemptFailure,
  HeadDecision,
  TargetTransport,
} from '../call/transport.js';
import type { Timer } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import { RunEnd, type TargetState, type WatchedRun } from '../quarantine/crash-watch.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import { classifyBrokenConnection } from './broken-connection.js';
import { CallAdmission } from './call-admission.js';
import { OutcomeBuilder } from './outcome-builder.js';
import type { CallHooks } from './call-hooks.js';
import {
  answerFaultRefusal,
  bodyBrokeRefusal,
  deadlineRefusal,
  processEndRefusal,
  type GateRefusal,
} from './gate-refusals.js';
import type { InboundListener, InboundResult, InboundServices } from './inbound-services.js';
import { NestedTime } from './nested-time.js';
import { isTargetNearCapacity } from './target-capacity.js';
import { HttpStatus } from '../common/http-status.js';

export class InboundCall {
  /** Retries shared by the calls that the target makes on behalf of this one. */
  readonly allowance: RetryAllowance;
  private readonly nested: NestedTime;
  private readonly outcomeBuilder: OutcomeBuilder;
  private readonly callAdmission: CallAdmission;
  private attempt: Attempt | undefined;
  private run: WatchedRun | undefined;
  private deadlineTimer: Timer | undefined;
  private answerBegan = false;
  private status = 0;
  private finished = false;

  /**
   * @param claimKey scope and idempotency key of a call that may run at most once; undefined for
   *   all other calls
   * @param hooks checks and callbacks of the process
   */
  constructor(
    readonly context: CallContext,
    claimKey: string | undefined,
    private readonly services: InboundServices,
    private readonly transport: TargetTransport,
    private readonly listener: InboundListener,
    private readonly hooks: CallHooks,
  ) {
    this.allowance = new RetryAllowance(context.retries);
    this.nested = new NestedTime(services.clock);
    this.outcomeBuilder = new OutcomeBuilder(context, services.admission, hooks, this.allowance);
    this.callAdmission = new CallAdmission(context, claimKey, services, hooks, {
      onAdmitted: (wasDelayed) => this.onAdmitted(wasDelayed),
      onReady: () => this.forward(),
      onRefused: (refusal) => this.refuse(refusal),
    });
  }

  /** Starts the call. The listener may be called before this returns. */
  start(): void {
    this.callAdmission.start();
  }

  /** The caller has disconnected: aborts the call. The listener is not called. */
  cancel(): void {
    if (this.finished) return;
    this.markFinished();
    this.stop('cancelled');
  }

  /** The caller cannot send the rest of the request body: ends the call with a final result. */
  endWithIncompleteBody(): void {
    this.giveUp(bodyBrokeRefusal);
  }

  /** The process is about to exit: ends the call with a final result. */
  endWithProcess(): void {
    this.giveUp(processEndRefusal);
  }

  /** The target started a call on behalf of this one. */
  onNestedStart(): void {
    this.nested.start();
  }

  /** A call that the target made on behalf of this one ended. */
  onNestedEnd(overloaded: boolean): void {
    this.nested.end();
    this.outcomeBuilder.nestedOverload ||= overloaded;
  }

  /**
   * Builds the outcome to send with the answer, and ends the retry allowance: no retry can be spent
   * afterwards.
   */
  takeOutcome(verdict: Verdict, refusal: RefusalReason | undefined): Outcome {
    return this.outcomeBuilder.takeOutcome(verdict, refusal);
  }

  private onAdmitted(wasDelayed: boolean): void {
    this.outcomeBuilder.wasDelayed = wasDelayed;
    const remainingMs = this.context.deadlineAt - this.callAdmission.admittedAt;
    this.deadlineTimer = this.services.clock.schedule(remainingMs, () => this.onDeadline());
  }

  private forward(): void {
    this.callAdmission.claim?.onForwarded();
    this.run = this.hooks.onDispatch();
    this.attempt = this.transport.send({
      onHead: (head) => this.onHead(head),
      onEnd: () => this.onEnd(),
      onFailure: (failure) => this.onFailure(failure),
    });
  }

  private onHead(head: AnswerHead): HeadDecision {
    if (head.fault !== undefined) {
      this.onFaultyAnswer(head.fault, head.expectedIncarnation);
      return 'discard';
    }
    this.answerBegan = true;
    this.status = head.status;
    this.callAdmission.claim?.onAnswered();
    this.recordAnswer(head.status);
    if (head.status === HttpStatus.ServiceUnavailable && !this.outcomeBuilder.nestedOverload) {
      this.outcomeBuilder.refusedForOverload = true;
      this.release('dropped');
    }
    return 'relay';
  }

  /** The target answered, or did not before the deadline. */
  private recordAnswer(status: number): void {
    this.hooks.onAnswer(status, this.services.clock.now() - this.callAdmission.admittedAt);
  }

  private onFaultyAnswer(fault: AnswerFault, expectedIncarnation: string | undefined): void {
    // Read before the call releases its own slot.
    const isFull = isTargetNearCapacity(this.services.admission.status());
    this.release('dropped');
    if (fault === 'foreign' || (fault === 'not-executed' && !isFull)) this.hooks.onUnserved();
    if (fault === 'foreign') {
      // Later answers on this connection could not be matched to requests either.
      this.attempt?.cancel();
    } else {
      this.run?.end(RunEnd.Failed);
      this.outcomeBuilder.rejectedByTarget = true;
      this.callAdmission.claim?.release();
      if (fault === 'misdirected') this.hooks.onMisdirected(expectedIncarnation ?? '');
    }
    this.refuse(answerFaultRefusal(fault, isFull));
  }

  private onEnd(): void {
    this.run?.end(this.status < HttpStatus.InternalServerError ? RunEnd.Answered : RunEnd.Failed);
    this.release('answered');
    this.finish({ type: 'relayed' });
  }

  private onFailure(failure: AttemptFailure): void {
    this.run?.end(failure.written ? RunEnd.Lost : RunEnd.Failed);
    if (failure.written && failure.reason !== 'caller-gone' && !this.answerBegan) {
      this.hooks.onUnserved();
    }
    this.release(failure.reason === 'caller-gone' ? 'cancelled' : 'dropped');
    const targetState = this.run?.targetState();
    if (this.answerBegan) {
      this.finish({ type: 'broken', verdict: 'ran' });
      return;
    }
    const verdict: Verdict = failure.written ? 'may-have-run' : 'not-run';
    if (!failure.written) this.callAdmission.claim?.release();
    if (failure.reason === 'caller-gone') this.refuse(bodyBrokeRefusal(verdict));
    else if (targetState === undefined) {
      this.finishRefused(classifyBrokenConnection(verdict, false, false).refusal);
    } else void targetState.then((state) => this.refuseAfterBreak(verdict, state));
  }

  private refuseAfterBreak(verdict: Verdict, state: TargetState): void {
    const isLikelyCause = this.hooks.isLikelyCause(this.run!, state.underWay);
    const { refusal, crashNote } = classifyBrokenConnection(verdict, state.isDown, isLikelyCause);
    this.outcomeBuilder.crashNote = crashNote;
    this.finishRefused(refusal);
  }

  private onDeadline(): void {
    if (this.finished) return;
    // Recorded like the status of a target that gives up itself (RFC 9110, section 15.6.5).
    if (!this.answerBegan) this.recordAnswer(HttpStatus.GatewayTimeout);
    this.giveUp(deadlineRefusal);
  }

  private giveUp(refusalOf: (verdict: Verdict) => GateRefusal): void {
    if (this.finished) return;
    const verdict: Verdict = this.attempt?.written === true ? 'may-have-run' : 'not-run';
    this.stop('cancelled');
    if (this.answerBegan) this.finish({ type: 'broken', verdict: 'ran' });
    else this.refuse(refusalOf(verdict));
  }

  /** Aborts the call at whichever step it is. */
  private stop(outcome: SampleOutcome): void {
    this.callAdmission.cancelWait();
    this.deadlineTimer?.cancel();
    if (this.attempt?.written !== true) this.callAdmission.claim?.release();
    this.attempt?.cancel();
    this.run?.end(RunEnd.Lost);
    this.release(outcome);
  }

  /** Releases what the call holds, except its claim. Further calls have no effect. */
  private release(outcome: SampleOutcome): void {
    this.callAdmission.release(outcome, this.nested.totalMs());
  }

  private refuse({ refusal, isOverload }: GateRefusal): void {
    this.outcomeBuilder.refusedForOverload ||= isOverload;
    this.finishRefused(refusal);
  }

  private finishRefused(refusal: Refusal): void {
    this.finish({ type: 'refused', refusal });
  }

  private finish(result: InboundResult): void {
    if (this.finished) return;
    this.markFinished();
    this.deadlineTimer?.cancel();
    this.run?.end(RunEnd.Lost);
    this.release('cancelled');
    this.listener(result);
  }

  private markFinished(): void {
    this.finished = true;
    this.callAdmission.close();
  }
}
