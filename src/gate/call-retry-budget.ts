/**
 * The retry budget for one call at a gate: charges the call to the budget if it is a repeat, and
 * records what is sent to the target.
 */
import { claimLevel, type ClaimLevel } from '../policy/scarcity-order.js';
import type { AcceptedRepeats } from '../retry/accepted-repeats.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { ArrivalSource, ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { CallContext } from '../call/call-context.js';

/** State of a gate that all calls share. */
export interface RetryBudgetServices {
  /** Limits the repeats that reach the target. */
  readonly retryBudget: ServiceRetryBudget;
  /** Tracks which of the runs in the target are repeats. */
  readonly repeatedRuns: RepeatedRuns;
}

export class CallRetryBudget {
  private readonly source: ArrivalSource;
  private readonly level: ClaimLevel;
  /** Whether the call is charged to the budget as a repeat and has not been sent yet. */
  private holdsRepeat = false;
  /** Probability that the run in the target is a repeat; undefined while none is there. */
  private runShare: number | undefined;

  /** @param isNested whether a target makes the call */
  constructor(
    private readonly services: RetryBudgetServices,
    private readonly context: CallContext,
    isNested: boolean,
  ) {
    this.source = isNested ? 'targets' : 'clients';
    this.level = claimLevel(context);
  }

  /** Which repeats the budget allows now. */
  get room(): AcceptedRepeats {
    return this.services.retryBudget.getAcceptedRepeats(this.source);
  }

  /** Charges the call to the budget if it is a repeat. @returns false if the budget has no room */
  tryAcquire(): boolean {
    const { retryBudget } = this.services;
    if (this.context.isRepeat !== true) return true;
    this.holdsRepeat = retryBudget.tryAcquireRepeat(this.source, this.level);
    return this.holdsRepeat;
  }

  /** The call is about to be sent to the target. */
  onDispatch(): void {
    const { retryBudget, repeatedRuns } = this.services;
    const { kind, isRepeat, inheritedShare = 0 } = this.context;
    this.holdsRepeat = false;
    if (isRepeat !== true) retryBudget.onFirstArrival(this.source, inheritedShare);
    this.runShare = isRepeat === true ? 1 : inheritedShare;
    repeatedRuns.onStart(kind, this.runShare);
  }

  /** The call has left the target, or will not reach it. Further calls have no effect. */
  release(): void {
    if (this.holdsRepeat) this.services.retryBudget.releaseRepeat(this.source, this.level);
    this.holdsRepeat = false;
    if (this.runShare !== undefined) {
      this.services.repeatedRuns.onEnd(this.context.kind, this.runShare);
    }
    this.runShare = undefined;
  }
}
