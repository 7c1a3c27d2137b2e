/**
 * What the attempts of one call have told so far: whether the request may have run, the load further down, and who makes
 * such calls. Passes on to the throttle what each answer says of overload.
 *
 * Relies on outcomes of gates, of which any may be missing; owns nothing that outlives the call.
 */
import type { CallThrottle } from '../admission/call-throttle.js';
import type { Clock } from '../common/clock.js';
import { combineVerdicts, type Verdict } from '../common/verdict.js';
import type { Outcome } from '../call/outcome.js';
import type { AnswerHead } from '../call/transport.js';
import { RepeatRoom } from '../retry/repeat-room.js';
import type { CallReport } from './outbound-request.js';
import { HttpStatus } from '../common/http-status.js';

export class CallFeedback {
  private currentVerdict: Verdict = 'not-run';
  private mayHaveArrived = false;
  private overloaded = false;
  private congestion = 0;
  private nested: boolean | undefined;
  private repeatRoom = RepeatRoom.Runs;

  constructor(
    private readonly trafficClass: string,
    private readonly throttle: CallThrottle,
    private readonly clock: Clock,
  ) {}

  /** The most that any attempt may have done. */
  get verdict(): Verdict {
    return this.currentVerdict;
  }

  /** Whether the next attempt is a repeat: one before it may have arrived at a target. */
  get isNextRepeat(): boolean {
    return this.mayHaveArrived;
  }

  /** What the caller is told with the end of the call. */
  report(): CallReport {
    const { overloaded, congestion, nested, repeatRoom } = this;
    return { overloaded, congestion, nested, repeatRoom };
  }

  /** The throttle of this process refused the call. */
  onThrottled(): void {
    this.overloaded = true;
  }

  /** An attempt that brought no answer was written at least in part. */
  onMayHaveArrived(): void {
    this.mayHaveArrived = true;
    this.currentVerdict = combineVerdicts(this.currentVerdict, 'may-have-run');
  }

  /** A gate said with its answer or refusal who makes such calls, and which repeats it has room for. */
  onOutcome(outcome: Outcome): void {
    this.nested = outcome.nested === true;
    this.repeatRoom = outcome.load?.repeatRoom ?? RepeatRoom.Runs;
    this.mayHaveArrived ||= mayHaveReachedTarget(outcome);
  }

  /** A gate refused an attempt. */
  onRefusal(outcome: Outcome): void {
    this.currentVerdict = combineVerdicts(this.currentVerdict, outcome.verdict);
    this.mayHaveArrived ||= mayHaveReachedTarget(outcome);
    this.overloaded ||= outcome.overloaded;
    this.reportToThrottle(outcome.overloaded, outcome);
  }

  /** A target answers. */
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

/** Whether the request has arrived at a target, or may have. */
function mayHaveReachedTarget({ rejectedByTarget, verdict }: Outcome): boolean {
  return rejectedByTarget === true || verdict !== 'not-run';
}
