/**
 * The attempts of one call that are in flight: none, one, or the two of a hedged request. Each attempt settles its retry
 * loan and reports its end to the balancer once.
 */
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import type { Outcome } from '../call/outcome.js';
import type { Attempt } from '../call/transport.js';
import type { RetryLoan } from '../retry/retry-allowance.js';
import type { EndpointPick } from '../routing/balancer.js';

/** An attempt whose endpoint has been picked. */
export class SentAttempt {
  /** Undefined once the end was reported to the balancer; the answer may still be forwarded. */
  private pick: EndpointPick | undefined;
  /** Undefined until `send` of the transport has returned. */
  private transportAttempt: Attempt | undefined;
  readonly endpoint: EndpointRecord;

  constructor(
    pick: EndpointPick,
    readonly loan: RetryLoan,
  ) {
    this.pick = pick;
    this.endpoint = pick.endpoint;
  }

  /** Whether any part of the request may have reached the other side. */
  get written(): boolean {
    return this.transportAttempt?.written ?? false;
  }

  /** Stores the attempt that the transport has returned. */
  onSent(transportAttempt: Attempt): void {
    this.transportAttempt = transportAttempt;
  }

  /** Reports the end to the balancer. Only the first call has an effect. */
  end(result: EndpointResult, outcome?: Outcome): void {
    this.pick?.end(result, outcome);
    this.pick = undefined;
  }

  /** Stops the attempt. Its lent retries count as spent, since the callee may have used them. */
  cancel(result: EndpointResult, outcome?: Outcome): void {
    this.loan.settleLost();
    this.end(result, outcome);
    this.transportAttempt?.cancel();
  }
}

type State =
  | { readonly type: 'none' }
  /** The attempt may have ended already; it is kept until the next one is sent. */
  | { readonly type: 'single'; readonly attempt: SentAttempt }
  /**
   * `first` was slow, and `second` was sent to another target. `first` continues until `second` is answered: a gate may
   * refuse the repeat, and cancelling `first` at once would then lose the request.
   */
  | { readonly type: 'hedged'; readonly first: SentAttempt; readonly second: SentAttempt };

export class ActiveAttempts {
  private state: State = { type: 'none' };

  /** Whether two attempts are in flight. */
  get isHedged(): boolean {
    return this.state.type === 'hedged';
  }

  /** Whether any part of the latest attempt may have reached the other side. */
  get isLatestWritten(): boolean {
    return this.latest?.written ?? false;
  }

  /** Whether any part of any attempt in flight may have reached the other side. */
  get isAnyWritten(): boolean {
    return this.isFirstWritten || this.isLatestWritten;
  }

  /** Whether any part of the first of two attempts may have reached the other side. */
  get isFirstWritten(): boolean {
    return this.state.type === 'hedged' && this.state.first.written;
  }

  /** Whether `attempt` is the first of two. */
  isFirst(attempt: SentAttempt): boolean {
    return this.state.type === 'hedged' && this.state.first === attempt;
  }

  /**
   * Adds an attempt that is about to be sent.
   * @param isHedge whether the attempt in flight continues beside it
   */
  begin(attempt: SentAttempt, isHedge: boolean): void {
    this.state =
      isHedge && this.state.type === 'single'
        ? { type: 'hedged', first: this.state.attempt, second: attempt }
        : { type: 'single', attempt };
  }

  /** Cancels the attempt other than `winner`, if any. */
  keepOnly(winner: SentAttempt): void {
    if (this.isFirst(winner)) this.dropSecond('cancelled');
    else this.dropFirst();
  }

  /** Cancels the first of two attempts. Does nothing if there is only one. */
  dropFirst(): void {
    if (this.state.type !== 'hedged') return;
    const { first, second } = this.state;
    this.state = { type: 'single', attempt: second };
    first.cancel('hedged');
  }

  /**
   * Cancels the second of two attempts. Does nothing if there is only one.
   * @param result how the second one ended
   */
  dropSecond(result: EndpointResult, outcome?: Outcome): void {
    if (this.state.type !== 'hedged') return;
    const { first, second } = this.state;
    this.state = { type: 'single', attempt: first };
    second.cancel(result, outcome);
  }

  /**
   * Cancels all attempts.
   * @param result how the latest one ended
   */
  cancelAll(result: EndpointResult): void {
    this.dropFirst();
    this.latest?.cancel(result);
  }

  private get latest(): SentAttempt | undefined {
    if (this.state.type === 'none') return undefined;
    return this.state.type === 'hedged' ? this.state.second : this.state.attempt;
  }
}
