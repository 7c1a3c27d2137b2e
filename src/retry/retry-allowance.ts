/**
 * Limits the retries of one request over its whole call chain (docs/design/retries.md).
 *
 * The edge or ingress creates the allowance of a request. Each call lends the remainder except one retry to the callee, and
 * gets back what the callee did not spend; if the answer is lost, the whole loan counts as spent. So the retries of the
 * chain never exceed the initial allowance, at any depth. Every loan must be settled when its call ends.
 */

/** Retries that a caller keeps when it lends. With 0, a lost answer would use up the whole allowance. */
const RESERVED_RETRIES = 1;

export class RetryAllowance {
  /** @param remaining retries left, a non-negative integer */
  constructor(private remaining: number) {}

  /** Retries that can be spent now. */
  get available(): number {
    return this.remaining;
  }

  /** Spends one retry. @returns false if none is left */
  spend(): boolean {
    if (this.remaining <= 0) return false;
    this.remaining -= 1;
    return true;
  }

  /** Returns a retry whose attempt reached no target. */
  refund(): void {
    this.remaining += 1;
  }

  /** Ends the allowance: no retries can be spent or lent afterwards. @returns the retries that were left */
  end(): number {
    const left = this.remaining;
    this.remaining = 0;
    return left;
  }

  /**
   * Lends the remainder to one call, except the retry that is kept in case the answer is lost. Parallel calls can't use what
   * is lent, so no retry is spent twice.
   */
  lend(): RetryLoan {
    const amount = Math.max(0, this.remaining - RESERVED_RETRIES);
    this.remaining -= amount;
    return new RetryLoan(amount, (unspent) => {
      this.remaining += unspent;
    });
  }
}

/** Retries lent to one call. */
export class RetryLoan {
  private settled = false;

  constructor(
    readonly amount: number,
    private readonly onReturn: (unspent: number) => void,
  ) {}

  /**
   * Ends the loan and returns the retries that the callee reported as unspent, at most the amount lent. Invalid numbers
   * count as 0. Only the first settlement has an effect.
   */
  settle(unspent: number): void {
    if (this.settled) return;
    this.settled = true;
    const valid = Number.isInteger(unspent) && unspent > 0;
    if (valid) this.onReturn(Math.min(unspent, this.amount));
  }

  /** Ends the loan of a call whose answer was lost: the whole amount counts as spent. */
  settleLost(): void {
    this.settle(0);
  }

  /** Ends the loan of a call that never reached the callee: nothing was spent. */
  settleUnused(): void {
    this.settle(this.amount);
  }
}
