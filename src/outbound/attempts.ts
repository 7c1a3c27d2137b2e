/**
 * The attempts of one call that are under way: none, one, or the two of a hedged request.
 *
 * Owns which attempt is which, and their ends: each attempt's loan of retries is settled once, and the balancer hears of
 * its end once. Relies on attempts whose listener hears nothing more after `cancel()`.
 */
import type { EndpointRecord, EndpointResult } from '../call/endpoint.js';
import type { Outcome } from '../call/outcome.js';
import type { Attempt } from '../call/transport.js';
import type { RetryLoan } from '../retry/retry-allowance.js';
import type { EndpointPick } from '../routing/balancer.js';

/** One attempt, from the choice of its endpoint on. */
export class SentAttempt {
  /** Undefined once the balancer has heard of the end; the answer may still be passed on. */
  private pick: EndpointPick | undefined;
  /** Undefined only while it is being sent. */
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

  /** The transport has taken it. */
  onSent(transportAttempt: Attempt): void {
    this.transportAttempt = transportAttempt;
  }

  /** Tells the balancer how it ended. Only the first end counts. */
  end(result: EndpointResult, outcome?: Outcome): void {
    this.pick?.end(result, outcome);
    this.pick = undefined;
  }

  /** Stops it: nothing more is known of the retries that it was lent. */
  cancel(result: EndpointResult, outcome?: Outcome): void {
    this.loan.settleLost();
    this.end(result, outcome);
    this.transportAttempt?.cancel();
  }
}

type State =
  | { readonly type: 'none' }
  /** The attempt may be over already; it stays until the next one is sent. */
  | { readonly type: 'single'; readonly attempt: SentAttempt }
  /**
   * The answer of `first` was late, and `second` was sent to another target. `first` goes on until `second` is answered,
   * since gates refuse repeats: cancelled at once, requests were lost that a target was at work on.
   */
  | { readonly type: 'hedged'; readonly first: SentAttempt; readonly second: SentAttempt };

export class ActiveAttempts {
  private state: State = { type: 'none' };

  /** Whether two attempts are under way. */
  get isHedged(): boolean {
    return this.state.type === 'hedged';
  }

  /** Whether any part of the latest attempt may have reached the other side. */
  get isLatestWritten(): boolean {
    return this.latest?.written ?? false;
  }

  /** Whether any part of any attempt under way may have reached the other side. */
  get isAnyWritten(): boolean {
    return this.isFirstWritten || this.isLatestWritten;
  }

  /** Whether any part of the attempt whose answer was late may have reached the other side. */
  get isFirstWritten(): boolean {
    return this.state.type === 'hedged' && this.state.first.written;
  }

  /** Whether `attempt` is the one of two whose answer was late. */
  isFirst(attempt: SentAttempt): boolean {
    return this.state.type === 'hedged' && this.state.first === attempt;
  }

  /** `attempt` is about to be sent. @param isHedge whether it is sent beside the one under way */
  begin(attempt: SentAttempt, isHedge: boolean): void {
    this.state =
      isHedge && this.state.type === 'single'
        ? { type: 'hedged', first: this.state.attempt, second: attempt }
        : { type: 'single', attempt };
  }

  /** `winner` is answered: the other one, if any, is cancelled. */
  keepOnly(winner: SentAttempt): void {
    if (this.isFirst(winner)) this.dropSecond('cancelled');
    else this.dropFirst();
  }

  /** The second of two goes on alone. Does nothing where there is one. */
  dropFirst(): void {
    if (this.state.type !== 'hedged') return;
    const { first, second } = this.state;
    this.state = { type: 'single', attempt: second };
    first.cancel('hedged');
  }

  /** The first of two goes on alone. @param result how the second one ended */
  dropSecond(result: EndpointResult, outcome?: Outcome): void {
    if (this.state.type !== 'hedged') return;
    const { first, second } = this.state;
    this.state = { type: 'single', attempt: first };
    second.cancel(result, outcome);
  }

  /** Stops all of them. @param result how the latest one ended */
  cancelAll(result: EndpointResult): void {
    this.dropFirst();
    this.latest?.cancel(result);
  }

  private get latest(): SentAttempt | undefined {
    if (this.state.type === 'none') return undefined;
    return this.state.type === 'hedged' ? this.state.second : this.state.attempt;
  }
}
