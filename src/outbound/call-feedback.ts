/**
 * Collects what the attempts of one call report: the verdict, downstream overload and congestion, and whether targets make
 * such calls. Reports overload to the throttle. Outcomes of gates may be missing.
 */
import type { CallThrottle } from '../admission/call-throttle.js';
import type { Clock } from '../common/clock.js';
import { combineVerdicts, type Verdict } from '../common/verdict.js';
import type { Bottleneck, Outcome } from '../call/outcome.js';
import type { AnswerHead } from '../call/transport.js';
import { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { CallReport } from './outbound-request.js';
import { HttpStatus } from '../common/http-status.js';

export class CallFeedback {
  private currentVerdict: Verdict = 'not-run';
  private mayHaveArrived = false;
  private overloaded = false;
  private congestion = 0;
  private nested: boolean | undefined;
  private bottleneck: Bottleneck | undefined;
  private repeatRoom = AcceptedRepeats.Runs;

  constructor(
    private readonly trafficClass: string,
    private readonly throttle: CallThrottle,
    private readonly clock: Clock,
  ) {}

  /** The verdict over all attempts: whether any of them may have run. */
  get verdict(): Verdict {
    return this.currentVerdict;
  }

  /** Whether the next attempt is a repeat, that is, an earlier one may have reached a target. */
  get isNextRepeat(): boolean {
    return this.mayHaveArrived;
  }

  /** Returns the report that is part of the result of the call. */
  report(): CallReport {
    const { overloaded, congestion, nested, repeatRoom, bottleneck } = this;
    return {
      overloaded,
      congestion,
      nested,
      repeatRoom,
      ...(bottleneck !== undefined && { bottleneck }),
    };
  }

  /** Records that the throttle of this process refused the call. */
  onThrottled(): void {
    this.overloaded = true;
  }

  /** Records that an attempt without an answer was written at least in part. */
  onMayHaveArrived(): void {
    this.mayHaveArrived = true;
    this.currentVerdict = combineVerdicts(this.currentVerdict, 'may-have-run');
  }

  /** Records what a gate reports with an answer or a refusal. */
  onOutcome(outcome: Outcome): void {
    this.nested = outcome.nested === true;
    this.bottleneck = outcome.bottleneck;
    this.repeatRoom = outcome.load?.repeatRoom ?? AcceptedRepeats.Runs;
    this.mayHaveArrived ||= mayHaveReachedTarget(outcome);
  }

  /** Records that a gate refused an attempt. */
  onRefusal(outcome: Outcome): void {
    this.currentVerdict = combineVerdicts(this.currentVerdict, outcome.verdict);
    this.mayHaveArrived ||= mayHaveReachedTarget(outcome);
    this.overloaded ||= outcome.overloaded;
    this.reportToThrottle(outcome.overloaded, outcome);
  }

  /** Records that a target has started to answer. */
  onAnswer({ status, outcome }: AnswerHead): void {
    this.currentVerdict = 'ran';
    this.overloaded = outcome?.overloaded === true || status === HttpStatus.ServiceUnavailable;
    this.reportToThrottle(this.overloaded, outcome);
  }

  private reportToThrottle(overloaded: boolean, outcome: Outcome | undefined): void {
    this.congestion = Math.max(this.congestion, outcome?.congestion ?? 0);
    this.throttle.onAnswer(this.trafficClass, this.clock.now(), { overloaded });
  }
}

/** Whether the request has reached a target, or may have. */
function mayHaveReachedTarget({ rejectedByTarget, verdict }: Outcome): boolean {
  return rejectedByTarget === true || verdict !== 'not-run';
}
