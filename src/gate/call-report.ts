/**
 * What an inbound call tells its caller besides the answer: whether it met overload, how loaded its target is, and the
 * retries that it has not spent. Owns what was seen of the call; relies on admission and the call's rules for the load.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import type { CrashNote, LoadReport, Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type { Verdict } from '../common/verdict.js';
import type { RetryAllowance } from '../retry/retry-allowance.js';
import type { CallHooks } from './call-rules.js';

export class OutcomeBuilder {
  /** A call that the target made on behalf of this one met overload. */
  nestedOverload = false;
  /** The call was refused for overload, here or by the target. */
  refusedForOverload = false;
  /** The target turned the call away itself. */
  rejectedByTarget = false;
  /** The call waited long to be let in. */
  wasDelayed = false;
  crashNote: CrashNote | undefined;

  constructor(
    private readonly admission: AdmissionController,
    private readonly hooks: CallHooks,
    private readonly allowance: RetryAllowance,
  ) {}

  /** The outcome to send with the answer. Ends the loan of retries: none can be spent after it. */
  takeOutcome(verdict: Verdict, refusal: RefusalReason | undefined): Outcome {
    const congestion = this.hooks.congestion();
    return {
      verdict,
      refusal,
      overloaded: this.refusedForOverload || this.nestedOverload || this.wasDelayed,
      ...(congestion !== undefined && { congestion }),
      ...(this.hooks.isNested && { nested: true }),
      ...(this.rejectedByTarget && { rejectedByTarget: true }),
      ...(this.crashNote !== undefined && { crashNote: this.crashNote }),
      unspentRetries: this.allowance.end(),
      load: this.loadReport(),
    };
  }

  private loadReport(): LoadReport {
    const { inFlight, waiting, limit } = this.admission.status();
    const { repeatRoom } = this.hooks;
    return { inFlight: inFlight + waiting, limit, repeatRoom };
  }
}
