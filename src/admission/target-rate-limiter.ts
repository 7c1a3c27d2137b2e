/**
 * Limits the rate of calls to one target to the limit that the target announces. All calls to the target pass through the
 * process beside it, so one token bucket there holds the limit for all callers.
 *
 * | state     | when                                                            | admits                         |
 * | --------- | --------------------------------------------------------------- | ------------------------------ |
 * | held      | after a start of the process, until its target has been probed  | nothing                        |
 * | trial     | after that, and with another target, until its first answer     | a few calls to get that answer |
 * | limited   | the target announces a limit                                    | the limit, evenly spaced       |
 * | unlimited | the target announces no limit                                   | everything                     |
 *
 * A restarted process does not know the limit that others have been told of, hence the first two states. Calls over the limit
 * are refused at once, and their callers are told when to return, each at another time. Pure: the clock is injected.
 */
import type { Clock } from '../common/clock.js';
import { MS_PER_SECOND } from '../common/units.js';
import type { CallPriority } from './call-priority.js';
import { TokenBucket, type TokenBucketRate } from './token-bucket.js';

/** Identifies a process that sends calls. */
export type CallerKey = object | string;

/** Stands for all callers where they can't be told apart. */
export const ANY_CALLER: CallerKey = 'any';

type State =
  | { readonly type: 'held' }
  | { readonly type: 'trial'; readonly bucket: TokenBucket }
  | { readonly type: 'limited'; readonly bucket: TokenBucket }
  | { readonly type: 'unlimited' };

/** Calls before the first answer if nothing is known: few, since the process may restart often while callers go on sending. */
const BLIND_TRIAL_RATE: TokenBucketRate = { perSecond: 0.5, capacity: 1 };
/** Calls before the first answer if a health check named no limit, or the target is new. */
const TRIAL_RATE: TokenBucketRate = { perSecond: 16, capacity: 8 };

/** Lowest rate in calls a second. A target with a limit of 0 still gets calls, whose answers tell when the limit rises. */
const MIN_CALLS_PER_SECOND = 0.25;

/** Tokens that may accumulate: those of this time in milliseconds, within the bounds below. */
const BURST_MS = 250;
const MIN_BURST = 1;
const MAX_BURST = 4;
/** Minimum burst at high rates, in milliseconds: shorter than that, arrivals are never even. */
const MIN_BURST_MS = 100;

/** Callers are told to return at a higher rate than the limit, since some have no call to send when they may. */
const RETURN_RATE_FACTOR = 1.25;
/** Longest time until a caller returns, in milliseconds. */
const MAX_RETURN_MS = 5_000;
/** The same before the first answer, which is soon to come. */
const MAX_TRIAL_RETURN_MS = 250;
/** Time until a caller returns while calls are held, in milliseconds. */
const HELD_RETURN_MS = 50;
/** A refused call leaves tokens to its priority until it may return, and for this time after that, in milliseconds. */
const RESERVED_MS = 1_000;
const RESERVED_TOKENS = 1;
/** Number of callers above which those whose time has passed are forgotten. */
const MAX_CALLERS = 256;

export class TargetRateLimiter {
  private state: State = { type: 'unlimited' };
  /** Until when tokens are reserved for a priority, in monotonic milliseconds. */
  private readonly reservedUntil = new Map<CallPriority, number>();
  /** When each caller returns, in monotonic milliseconds. */
  private readonly returnsAt = new Map<CallerKey, number>();
  private lastReturnAt = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** The process has started: admits nothing until {@link release}. */
  hold(): void {
    this.state = { type: 'held' };
  }

  /**
   * The target has been probed, or cannot be.
   * @param hasAnswered whether it has answered a health check, in which a target with a limit names it
   */
  release(hasAnswered: boolean): void {
    if (this.state.type === 'held') {
      this.startTrial(hasAnswered ? TRIAL_RATE : BLIND_TRIAL_RATE);
    }
  }

  /** There is another target, whose limit is not known. */
  onTargetReplaced(): void {
    if (this.state.type !== 'held') this.startTrial(TRIAL_RATE);
  }

  /** Sets the limit that the target announces. @param perSecond 0 or more; undefined for none */
  setLimit(perSecond: number | undefined): void {
    if (perSecond === undefined) {
      this.state = { type: 'unlimited' };
      return;
    }
    const rate = toBucketRate(perSecond);
    const now = this.clock.now();
    if (this.state.type === 'limited') this.state.bucket.setRate(rate, now);
    else this.state = { type: 'limited', bucket: new TokenBucket(rate, 0, now) };
  }

  /** Whether a call may be sent to the target now; counts it if so. */
  tryAcquire(priority: CallPriority): boolean {
    const { state } = this;
    if (state.type === 'unlimited') return true;
    if (state.type === 'held') return false;
    const now = this.clock.now();
    const needed = this.reservedMs(priority, now) > 0 ? 1 + RESERVED_TOKENS : 1;
    return state.bucket.take(needed, now);
  }

  /** Records that a call was refused. @returns the time until one of its priority may be sent, in milliseconds */
  onRefused(priority: CallPriority): number {
    const waitMs = this.msUntilPermit(priority);
    this.reservedUntil.set(priority, this.clock.now() + waitMs + RESERVED_MS);
    return waitMs;
  }

  /** Time until a call of this priority may be sent, in milliseconds; 0 if it may be sent now. */
  msUntilPermit(priority: CallPriority): number {
    const { state } = this;
    if (state.type === 'unlimited') return 0;
    if (state.type === 'held') return HELD_RETURN_MS;
    const now = this.clock.now();
    const unreservedMs = Math.max(this.reservedMs(priority, now), state.bucket.msUntil(1, now));
    return Math.min(unreservedMs, state.bucket.msUntil(1 + RESERVED_TOKENS, now));
  }

  /**
   * Time after which a caller should send the next call of this priority, in milliseconds; 0 if it may at once. Different
   * callers get different times.
   */
  msUntilReturn(priority: CallPriority, caller: CallerKey): number {
    const waitMs = this.msUntilPermit(priority);
    if (waitMs === 0) return 0;
    const now = this.clock.now();
    const assigned = this.returnsAt.get(caller) ?? -Infinity;
    if (assigned > now) return assigned - now;
    const returnAt = this.nextReturnAt(now, waitMs);
    this.forgetReturned(now);
    this.returnsAt.set(caller, returnAt);
    return returnAt - now;
  }

  private startTrial(rate: TokenBucketRate): void {
    const bucket = new TokenBucket(rate, rate.capacity, this.clock.now());
    this.state = { type: 'trial', bucket };
  }

  private nextReturnAt(now: number, waitMs: number): number {
    const { state } = this;
    if (state.type === 'held' || state.type === 'unlimited') return now + waitMs;
    const maxMs = state.type === 'trial' ? MAX_TRIAL_RETURN_MS : MAX_RETURN_MS;
    const earliest = now + Math.min(waitMs, maxMs);
    const next = this.lastReturnAt + MS_PER_SECOND / (RETURN_RATE_FACTOR * state.bucket.perSecond);
    // Beyond the longest time, the callers share the times from the start.
    this.lastReturnAt = next < earliest || next > now + maxMs ? earliest : next;
    return this.lastReturnAt;
  }

  private forgetReturned(now: number): void {
    if (this.returnsAt.size < MAX_CALLERS) return;
    for (const [caller, returnAt] of this.returnsAt) {
      if (returnAt <= now) this.returnsAt.delete(caller);
    }
  }

  /** Time for which tokens are reserved for calls that come before this priority, in milliseconds; 0 if none are. */
  private reservedMs(priority: CallPriority, now: number): number {
    let longestMs = 0;
    for (const [other, until] of this.reservedUntil) {
      if (until <= now) this.reservedUntil.delete(other);
      else if (other < priority) longestMs = Math.max(longestMs, until - now);
    }
    return longestMs;
  }
}

function toBucketRate(perSecond: number): TokenBucketRate {
  const rate = Math.max(MIN_CALLS_PER_SECOND, perSecond);
  const tokensIn = (durationMs: number): number => (rate * durationMs) / MS_PER_SECOND;
  const burst = Math.min(MAX_BURST, MIN_BURST + tokensIn(BURST_MS));
  return { perSecond: rate, capacity: Math.max(burst, tokensIn(MIN_BURST_MS)) };
}
