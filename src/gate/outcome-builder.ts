/**
 * Collects what is observed during an inbound call, and builds the outcome that its caller gets
 * with the answer: overload, load of the target, and unspent retries.
 */
import type { AdmissionController } from '../admission/admission-controller.js';
import { callPriority } from '../admission/call-priority.js';
import type { CallContext } from '../call/call-context.js';
import type { CrashNote, LoadReport, Outcome } from '../call/outcome.js';
import type { RefusalReason } from '../call/refusal.js';
import type { Verdict } from '../common/verdict.js';
import type { RetryAllowance } from '../retry/retry-allowance.js';
import type { CallHooks } from './call-hooks.js';

export class OutcomeBuilder {
  /** Whether a call that the target made on behalf of this one met overload. */
  nestedOverload = false;
  /** Whether the call was refused for overload, by this process or by the target. */
  refusedForOverload = false;
  /** Whether the target itself rejected the call. */
  rejectedByTarget = false;
  /** Whether the wait for admission counts as congestion. */
  wasDelayed = false;
  crashNote: CrashNote | undefined;

  constructor(
    private readonly context: CallContext,
    private readonly admission: AdmissionController,
    private readonly hooks: CallHooks,
    private readonly allowance: RetryAllowance,
  ) {}

  /** Builds the outcome and ends the retry allowance: no retry can be spent afterwards. */
  takeOutcome(verdict: Verdict, refusal: RefusalReason | undefined): Outcome {
    const congestion = this.hooks.congestion();
    const returnInMs = this.msUntilReturn();
    const bottleneck = this.hooks.bottleneck();
    return {
      verdict,
      refusal,
      overloaded: this.refusedForOverload || this.nestedOverload || this.wasDelayed,
      ...(congestion !== undefined && { congestion }),
      ...(this.hooks.isNested && { nested: true }),
      ...(this.rejectedByTarget && { rejectedByTarget: true }),
      ...(this.crashNote !== undefined && { crashNote: this.crashNote }),
      ...(returnInMs > 0 && { returnInMs }),
      ...(bottleneck !== undefined && { bottleneck }),
      unspentRetries: this.allowance.end(),
      load: this.loadReport(),
    };
  }

  /** Time until the caller should send the next such call, in milliseconds; 0 if it may at once. */
  private msUntilReturn(): number {
    const { isNested, caller } = this.hooks;
    const { groupRank, importance } = this.context;
    return this.admission.msUntilReturn(callPriority({ isNested, groupRank, importance }), caller);
  }

  private loadReport(): LoadReport {
    const { inFlight, waiting, limit } = this.admission.status();
    const { repeatRoom } = this.hooks;
    const kindPace = this.hooks.kindPace();
    const unservedShare = this.hooks.unservedShare();
    return {
      inFlight: inFlight + waiting,
      limit,
      repeatRoom,
      ...(kindPace !== undefined && { kindPace }),
      ...(unservedShare !== undefined && { unservedShare }),
    };
  }
}
