/**
 * The retry budget for one call at a gate: asks it where the call is a repeat, and counts what arrives at the target. Owns
 * what the call sets aside; relies on the budget of the service.
 */
import type { RepeatRoom } from '../retry/repeat-room.js';
import type { RepeatedRuns } from '../retry/repeated-runs.js';
import type { ArrivalSource, ServiceRetryBudget } from '../retry/service-retry-budget.js';
import type { CallContext } from '../call/call-context.js';

/** What the gate keeps of all calls. */
export interface RetryBudgetServices {
  /** Bounds the repeats that reach the target. */
  readonly retryBudget: ServiceRetryBudget;
  /** Learns how many of the target's runs are repeats. */
  readonly repeatedRuns: RepeatedRuns;
}

export class CallRetryBudget {
  private readonly source: ArrivalSource;
  /** Whether the budget counts a repeat that has not arrived yet. */
  private holdsRepeat = false;
  /** How likely the run in the target is a repeat; undefined while none is there. */
  private runShare: number | undefined;

  /** @param isNested whether a target makes the call */
  constructor(
    private readonly services: RetryBudgetServices,
    private readonly context: CallContext,
    isNested: boolean,
  ) {
    this.source = isNested ? 'targets' : 'clients';
  }

  /** Which repeats would be let through now. */
  get room(): RepeatRoom {
    return this.services.retryBudget.room(this.source);
  }

  /** Whether the call is no repeat, or one that the budget allows. */
  tryAcquire(): boolean {
    const { retryBudget } = this.services;
    if (this.context.isRepeat !== true) return true;
    this.holdsRepeat = retryBudget.tryRepeat(this.source);
    return this.holdsRepeat;
  }

  /** The call is about to arrive at the target. */
  onDispatch(): void {
    const { retryBudget, repeatedRuns } = this.services;
    const { kind, isRepeat, inheritedShare = 0 } = this.context;
    this.holdsRepeat = false;
    if (isRepeat !== true) retryBudget.onFirstArrival(this.source, inheritedShare);
    this.runShare = isRepeat === true ? 1 : inheritedShare;
    repeatedRuns.onStart(kind, this.runShare);
  }

  /** The call is no longer in the target, or will not get there. */
  release(): void {
    if (this.holdsRepeat) this.services.retryBudget.giveBack(this.source);
    this.holdsRepeat = false;
    if (this.runShare !== undefined) {
      this.services.repeatedRuns.onEnd(this.context.kind, this.runShare);
    }
    this.runShare = undefined;
  }
}
