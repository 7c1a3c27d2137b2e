/**
 * One call through the node beside its target: admission, claim of the idempotency key, the target,
 * the deadline. Pure: transport, clock and admission are injected.
 */
import type { AdmissionPermit } from '../admission/admission-controller.js';
import type { PendingAdmission, AdmissionRefusal } from '../admission/admission-controller.js';
import type { SampleOutcome } from '../admission/concurrency-limiter.js';
import type { Timer } from '../common/clock.js';
import type { Verdict } from '../common/verdict.js';
import type { ClaimDecision, ClaimHandle } from '../dedup/claim.js';
import { RunEnd, type TargetState, type WatchedRun } from '../quarantine/crash-watch.js';
import { RetryAllowance } from '../retry/retry-allowance.js';
import type { CallContext } from '../call/call-context.js';
import { kindRefusalDetail } from './kind-refusal.js';
import { NestedTime } from './nested-time.js';
import { judgeBrokenRun } from './broken-run.js';
import type { CallRules } from './call-rules.js';
import type { InboundListener, InboundResult, InboundServices } from './inbound-services.js';
import type { CrashNote, LoadReport, Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type {
  AnswerFault,
  AnswerHead,
  Attempt,
  AttemptFailure,
  HeadDecision,
  TargetTransport,
} from '../call/transport.js';
import { NO_RETRY_AFTER, SOON_SECONDS } from '../call/retry-after.js';

/** Part of its limit from which a target counts as full: reports of its slots may be a little old. */
const FULL_PART = 0.8;
const STATUS_SERVER_ERROR = 500;
const STATUS_SHEDDING = 503;
/** Stands for a target that did not answer before the deadline (RFC 9110, section 15.6.5). */
const STATUS_NO_ANSWER = 504;

const NOT_ADMITTED_DETAILS: Record<AdmissionRefusal, string> = {
  overload: 'The target is at its limit.',
  deadline: 'The call could not have finished before its deadline.',
  leaving: 'The target is leaving.',
};

export class InboundCall {
  /** Retries that the calls made by the target share. */
  readonly allowance: RetryAllowance;
  private readonly nested: NestedTime;
  private pending: PendingAdmission | undefined;
  private permit: AdmissionPermit | undefined;
  private claim: ClaimHandle | undefined;
  private attempt: Attempt | undefined;
  private run: WatchedRun | undefined;
  private crashNote: CrashNote | undefined;
  private deadlineTimer: Timer | undefined;
  private nestedOverload = false;
  private refusedForOverload = false;
  private rejectedByTarget = false;
  private waitedLong = false;
  private answerBegan = false;
  private status = 0;
  private finished = false;
  private readonly startedAt: number;
  private admittedAt = 0;

  /**
   * @param claimKey scope and idempotency key of a call that may run at most once; undefined for
   *   all other calls
   */
  constructor(
    readonly context: CallContext,
    private readonly claimKey: string | undefined,
    private readonly services: InboundServices,
    private readonly transport: TargetTransport,
    private readonly listener: InboundListener,
    private readonly rules: CallRules,
  ) {
    this.startedAt = services.clock.now();
    this.allowance = new RetryAllowance(context.retries);
    this.nested = new NestedTime(services.clock);
  }

  /** Starts the call. The listener may hear the result before this returns. */
  start(): void {
    if (this.services.isLeaving(this.context.kind)) {
      this.refuse('leaving', 'not-run', SOON_SECONDS, 'The target is leaving.');
      return;
    }
    const kindRefusal = this.rules.enterKind();
    if (kindRefusal !== undefined) {
      this.refusedForOverload = true;
      this.refuse('overload', 'not-run', SOON_SECONDS, kindRefusalDetail(kindRefusal));
      return;
    }
    if (!this.rules.enterRepeat()) {
      this.refuse(
        'retry-budget',
        'not-run',
        SOON_SECONDS,
        'The service has had all the repeats that it may.',
      );
      return;
    }
    const { group, groupRank, kind, importance, deadlineAt, waitUntil } = this.context;
    this.pending = this.services.admission.offer(
      { group, groupRank, kind, importance, deadlineAt, waitUntil },
      {
        onAdmitted: (permit) => this.onAdmitted(permit),
        onRefused: (reason, retryAfterSeconds) => this.onNotAdmitted(reason, retryAfterSeconds),
      },
    );
  }

  /** The caller went away: stops everything below. The listener hears nothing more. */
  cancel(): void {
    if (this.finished) return;
    this.finished = true;
    this.stop('cancelled');
  }

  /** This process is about to end: gives the call up with a final answer. */
  endWithProcess(): void {
    this.giveUp('leaving', 'The process had to end before the target answered.');
  }

  /** The target began a call of its own on behalf of this one. */
  onNestedStart(): void {
    this.nested.start();
  }

  /** A call that the target made on behalf of this one ended. */
  onNestedEnd(overloaded: boolean): void {
    this.nested.end();
    this.nestedOverload ||= overloaded;
  }

  /** The outcome to send with the answer. Ends the loan of retries: none can be spent after it. */
  takeOutcome(verdict: Verdict, refusal: RefusalReason | undefined): Outcome {
    return {
      verdict,
      refusal,
      overloaded: this.refusedForOverload || this.nestedOverload || this.waitedLong,
      ...this.congestion(),
      ...(this.rules.isNested && { nested: true }),
      ...(this.rejectedByTarget && { rejectedByTarget: true }),
      ...(this.crashNote !== undefined && { crashNote: this.crashNote }),
      unspentRetries: this.allowance.end(),
      load: this.loadReport(),
    };
  }

  private congestion(): Pick<Outcome, 'congestion'> {
    const congestion = this.rules.congestion();
    return congestion === undefined ? {} : { congestion };
  }

  private loadReport(): LoadReport {
    const status = this.services.admission.status();
    const { repeatRoom } = this.rules;
    return { inFlight: status.inFlight + status.waiting, limit: status.limit, repeatRoom };
  }

  private onNotAdmitted(reason: AdmissionRefusal, retryAfterSeconds: number): void {
    this.refusedForOverload = reason !== 'leaving';
    if (this.refusedForOverload) this.rules.onNotAdmitted();
    this.refuse(reason, 'not-run', retryAfterSeconds, NOT_ADMITTED_DETAILS[reason]);
  }

  private onAdmitted(permit: AdmissionPermit): void {
    this.permit = permit;
    const now = this.services.clock.now();
    this.admittedAt = now;
    this.waitedLong = this.rules.onAdmitted(now - this.startedAt);
    const remainingMs = this.context.deadlineAt - now;
    this.deadlineTimer = this.services.clock.schedule(remainingMs, () => this.onDeadline());
    if (this.claimKey === undefined) {
      this.forward();
      return;
    }
    this.claim = this.services.claims.claim(this.claimKey, (decision) => this.onClaim(decision));
  }

  private onClaim(decision: ClaimDecision): void {
    if (this.finished) return;
    if (decision.type === 'granted') {
      this.forward();
      return;
    }
    this.claim = undefined;
    if (decision.type === 'unknown') {
      this.refuse('duplicate-unknown', 'not-run', SOON_SECONDS, decision.detail);
      return;
    }
    this.refuse('duplicate', decision.verdict, NO_RETRY_AFTER, decision.detail);
  }

  private forward(): void {
    this.claim?.onForwarded();
    this.run = this.rules.onArrival();
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
    this.claim?.onAnswered();
    this.learnFrom(head.status);
    if (head.status === STATUS_SHEDDING && !this.nestedOverload) {
      this.refusedForOverload = true;
      this.release('dropped');
    }
    return 'relay';
  }

  /** The target has answered, or has not in time. */
  private learnFrom(status: number): void {
    this.rules.onAnswer(status, this.services.clock.now() - this.admittedAt);
  }

  /**
   * Whether the target can be short of room, as far as this gate has filled it. A rejection by one that is not
   * says nothing about capacity: taken for overload, it made callers hold back nine of ten calls of a service whose
   * slots stood empty (1,128 rejections in 9 s, where 5,000 calls were wanted).
   */
  private isTargetFull(): boolean {
    const { inFlight, limit, waiting } = this.services.admission.status();
    return waiting > 0 || inFlight >= FULL_PART * limit;
  }

  private onFaultyAnswer(fault: AnswerFault, expectedIncarnation: string | undefined): void {
    const isFull = this.isTargetFull();
    this.release('dropped');
    if (fault !== 'foreign') {
      this.run?.end(RunEnd.Failed);
      this.rejectedByTarget = true;
      this.claim?.release();
      this.refusedForOverload = fault === 'not-executed' && isFull;
      if (fault === 'misdirected') this.rules.onMisdirected(expectedIncarnation ?? '');
      const reason = this.refusedForOverload ? 'overload' : 'unavailable';
      this.refuse(reason, 'not-run', SOON_SECONDS, 'The target turned the request away.');
      return;
    }
    // What follows on this connection can't be told apart either.
    this.attempt?.cancel();
    this.refuse(
      'broken-answer',
      'may-have-run',
      NO_RETRY_AFTER,
      'The answer was not to this request.',
    );
  }

  private onEnd(): void {
    this.run?.end(this.status < STATUS_SERVER_ERROR ? RunEnd.Answered : RunEnd.Failed);
    this.release('answered');
    this.finish({ type: 'relayed' });
  }

  private onFailure(failure: AttemptFailure): void {
    this.run?.end(failure.written ? RunEnd.Lost : RunEnd.Failed);
    this.release(failure.reason === 'caller-gone' ? 'cancelled' : 'dropped');
    const targetState = this.run?.targetState();
    if (this.answerBegan) {
      this.finish({ type: 'broken', verdict: 'ran' });
      return;
    }
    const verdict: Verdict = failure.written ? 'may-have-run' : 'not-run';
    if (!failure.written) this.claim?.release();
    if (failure.reason === 'caller-gone') {
      this.refuse('bad-request', verdict, NO_RETRY_AFTER, 'The request body broke off.');
      return;
    }
    if (targetState === undefined) {
      this.finish({ type: 'refused', refusal: judgeBrokenRun(verdict, false, false).refusal });
    } else void targetState.then((state) => this.refuseAfterBreak(verdict, state));
  }

  private refuseAfterBreak(verdict: Verdict, state: TargetState): void {
    const isLikelyCause = this.rules.isLikelyCause(this.run!, state.underWay);
    const { refusal, crashNote } = judgeBrokenRun(verdict, state.isDown, isLikelyCause);
    this.crashNote = crashNote;
    this.finish({ type: 'refused', refusal });
  }

  private onDeadline(): void {
    if (this.finished) return;
    if (!this.answerBegan) this.learnFrom(STATUS_NO_ANSWER);
    this.giveUp('deadline', 'The target did not answer before the deadline.');
  }

  private giveUp(reason: RefusalReason, detail: string): void {
    if (this.finished) return;
    const verdict: Verdict = this.attempt?.written === true ? 'may-have-run' : 'not-run';
    this.stop('cancelled');
    if (this.answerBegan) {
      this.finish({ type: 'broken', verdict: 'ran' });
      return;
    }
    this.refuse(reason, verdict, SOON_SECONDS, detail);
  }

  /** Stops whatever the call is doing. */
  private stop(outcome: SampleOutcome): void {
    this.pending?.cancel();
    this.deadlineTimer?.cancel();
    if (this.attempt?.written !== true) this.claim?.release();
    this.attempt?.cancel();
    this.run?.end(RunEnd.Lost);
    this.release(outcome);
  }

  private release(outcome: SampleOutcome): void {
    this.rules.leave();
    const permit = this.permit;
    this.permit = undefined;
    permit?.release(outcome, this.nested.totalMs());
  }

  private refuse(
    reason: RefusalReason,
    verdict: Verdict,
    retryAfterSeconds: number,
    detail: string,
  ): void {
    this.finish({ type: 'refused', refusal: { reason, verdict, retryAfterSeconds, detail } });
  }

  private finish(result: InboundResult): void {
    if (this.finished) return;
    this.finished = true;
    this.deadlineTimer?.cancel();
    this.run?.end(RunEnd.Lost);
    this.release('cancelled');
    this.listener(result);
  }
}
