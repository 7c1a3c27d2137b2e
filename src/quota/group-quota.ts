/**
 * The permits of one group at one ingress: limits the requests that run in a sliding window to the number that control has
 * granted. Requests above it are refused as `rate-limited`.
 */
import { rateLimitedSeconds } from '../call/retry-after.js';
import { SlidingWindowCounter } from '../common/sliding-window-counter.js';
import type { GroupUse } from './quota-messages.js';

/** Permission to run one request within the quota of its group. */
export interface QuotaPermit {
  /** Returns the permit; call only if the request has certainly not run. */
  release(): void;
}

/** The state of a group at this ingress, for the answer to a refused client and the log. */
export interface QuotaState {
  /** One sentence with the used, granted and offered requests. */
  readonly description: string;
  /** Seconds after which a refused request may obtain a permit when it is retried. */
  readonly retryAfterSeconds: number;
}

/**
 * Fraction by which the counted window is longer than the quota window. Requests run slightly after they are counted, as
 * they may wait at a gate, so an exact window could admit more than the grant in a window at the targets.
 */
const WINDOW_MARGIN = 0.02;

/** Counts the requests of one group and issues permits up to the granted allowance. */
export class GroupQuota {
  /** Requests per window that may run; valid until {@link validUntil}. */
  private allowance = 0;
  /** Monotonic milliseconds. */
  private validUntil = -Infinity;
  /** Requests that have run or may have run. */
  private readonly used: SlidingWindowCounter;
  /** All requests, including refused ones. */
  private readonly offered: SlidingWindowCounter;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.used = new SlidingWindowCounter(windowMs * (1 + WINDOW_MARGIN));
    this.offered = new SlidingWindowCounter(windowMs * (1 + WINDOW_MARGIN));
  }

  /**
   * Applies a grant.
   * @param validUntil when the grant expires, in monotonic milliseconds
   */
  onGrant(allowance: number, validUntil: number): void {
    this.allowance = allowance;
    this.validUntil = validUntil;
  }

  /** Counts an incoming request of the group. */
  onOffered(now: number): void {
    this.offered.add(now);
  }

  /** Acquires a permit; undefined if the allowance for the window is used up. */
  tryAcquire(now: () => number): QuotaPermit | undefined {
    const takenAt = now();
    if (this.used.total(takenAt) + 1 > this.allowed(takenAt)) return undefined;
    const step = this.used.add(takenAt);
    let isTaken = true;
    return {
      release: () => {
        if (isTaken) this.used.remove(step, now());
        isTaken = false;
      },
    };
  }

  /** The usage of the group, for the report to control. */
  use(group: string, now: number): GroupUse {
    const used = this.used.total(now);
    const offered = this.offered.total(now);
    return { group, used, offered, held: this.allowed(now) };
  }

  state(now: number): QuotaState {
    const used = this.used.total(now);
    const isGranted = this.validUntil > now;
    const description = isGranted
      ? `It has used ${used} of ${this.allowance} here, of ${this.offered.total(now)} asked for.`
      : NOTHING_GRANTED.description;
    const hasPermits = isGranted && this.allowance >= 1;
    const msToNextPermit = hasPermits ? this.used.msToNextExpiry(now) : undefined;
    return { description, retryAfterSeconds: rateLimitedSeconds(msToNextPermit) };
  }

  private allowed(now: number): number {
    return this.validUntil > now ? this.allowance : 0;
  }
}

/** The state of a group without a grant. */
export const NOTHING_GRANTED: QuotaState = {
  description: 'Control has granted it nothing here.',
  retryAfterSeconds: rateLimitedSeconds(undefined),
};
