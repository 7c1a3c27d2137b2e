/** Lab only: a retry allowance that does not take the retries of other hops into account. */
import { RetryAllowance, RetryLoan } from '../../src/retry/retry-allowance.js';

const RETRIES_PER_HOP = 2;
/** Permits the full number of retries for every call. */
export const UNBOUNDED_RETRY_RATIO = RETRIES_PER_HOP;

export class UnboundedAllowance extends RetryAllowance {
  constructor() {
    super(RETRIES_PER_HOP);
  }

  override lend(): RetryLoan {
    return new RetryLoan(RETRIES_PER_HOP, () => undefined);
  }
}
