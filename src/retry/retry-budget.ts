/**
 * Bounds the retries of one process at one service to a ratio of its first attempts. A token bucket: a first attempt adds
 * `ratio`, a retry or a hedged request takes 1. Owns the tokens; the rule that asks for them is retry-policy.ts.
 *
 * For edges and nodes, whose callees let all repeats in. Callers of sidecars need none: gates bound what they let through
 * (service-retry-budget.ts).
 */

/** Most retries that are saved up for a burst, and those at the start of a process. */
const DEFAULT_CAPACITY = 20;

/** What a process asks before it sends a call again. */
export interface RetryCredit {
  /** Whether one retry can be spent now. */
  readonly hasRetry: boolean;
  /** Credits a first attempt. @param ratio retries allowed per first attempt, 0 to 1 */
  onFirstAttempt(ratio: number): void;
  /** Takes one retry. Only where {@link hasRetry}. */
  spend(): void;
}

/** For callers whose callees bound the repeats that they let through. */
export const CALLEES_DECIDE: RetryCredit = {
  hasRetry: true,
  onFirstAttempt: () => {
    // Callees count what arrives.
  },
  spend: () => {
    // Callees count what arrives.
  },
};

export class RetryBudget implements RetryCredit {
  private tokens: number;

  /** @param capacity most retries that can be saved up for a burst; also the initial credit */
  constructor(private readonly capacity: number = DEFAULT_CAPACITY) {
    this.tokens = capacity;
  }

  get hasRetry(): boolean {
    return this.tokens >= 1;
  }

  onFirstAttempt(ratio: number): void {
    this.tokens = Math.min(this.capacity, this.tokens + ratio);
  }

  spend(): void {
    this.tokens -= 1;
  }
}
