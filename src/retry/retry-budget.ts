/**
 * Limits the retries of one process to a service to a ratio of its first attempts. A token bucket: a first attempt adds
 * `ratio` tokens, a retry or a hedged request takes one.
 *
 * Used by edges and nodes, whose callees accept all repeats. In sidecars the gates of the callees limit the repeats
 * (service-retry-budget.ts).
 */

/** Default size of the bucket, which is also the initial number of tokens. */
const DEFAULT_CAPACITY = 20;

/** Limit on the retries of a process to one service. */
export interface RetryLimiter {
  /** Whether one retry can be spent now. */
  readonly hasRetry: boolean;
  /** Counts a first attempt. @param ratio retries allowed per first attempt, 0 to 1 */
  onFirstAttempt(ratio: number): void;
  /** Spends one retry. Must only be called if {@link hasRetry} is true. */
  spend(): void;
}

/** No limit, for callers whose callees limit the repeats that they let through. */
export const UNLIMITED_RETRIES: RetryLimiter = {
  hasRetry: true,
  onFirstAttempt: () => {
    // Counted by the callees.
  },
  spend: () => {
    // Counted by the callees.
  },
};

export class RetryBudget implements RetryLimiter {
  private tokens: number;

  /** @param capacity maximum number of tokens, and the initial number */
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
