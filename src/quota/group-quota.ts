/**
 * The permits of one group at one ingress: as many requests may run in a window as control has granted. The rule
 * `rate-limited` of an ingress.
 *
 * Owns the grant and the counts of the window. Pure: the time is passed in. Relies on {@link IngressQuota} for grants.
 */
import { rateLimitedSeconds } from '../call/retry-after.js';
import { SlidingCount } from '../common/sliding-count.js';
import type { GroupUse } from './quota-messages.js';

/** Lets one request run within the quota of its group. */
export interface QuotaPermit {
  /** The request has surely not run: another one may run in its place. */
  release(): void;
}

/** Where a group stands at this ingress, to tell a refused client and the log. */
export interface QuotaState {
  /** One sentence on what the group has used, may use and has asked for. */
  readonly description: string;
  /** Seconds after which a refused request of the group may get a permit. */
  readonly retryAfterSeconds: number;
}

/**
 * The window that is counted is longer by this part: requests run a little later than they are counted, up to the wait
 * at a gate. Longer, fewer may run; shorter, more may run in a window of targets than were granted.
 */
const WINDOW_MARGIN = 0.02;

export class GroupQuota {
  /** Requests in a window that may run, until {@link validUntil}. */
  private allowance = 0;
  /** Monotonic milliseconds. */
  private validUntil = -Infinity;
  /** Requests that have run or may run. */
  private readonly used: SlidingCount;
  /** Refused requests included. */
  private readonly offered: SlidingCount;

  /** @param windowMs length of the window in milliseconds */
  constructor(windowMs: number) {
    this.used = new SlidingCount(windowMs * (1 + WINDOW_MARGIN));
    this.offered = new SlidingCount(windowMs * (1 + WINDOW_MARGIN));
  }

  /** Control has granted. @param validUntil monotonic milliseconds */
  onGrant(allowance: number, validUntil: number): void {
    this.allowance = allowance;
    this.validUntil = validUntil;
  }

  /** A request of the group has come. */
  onOffered(now: number): void {
    this.offered.add(now);
  }

  /** Takes a permit; undefined where the group has had what it may have in a window. */
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

  /** What control is told of the group. */
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

/** Where a group stands that has no grant. */
export const NOTHING_GRANTED: QuotaState = {
  description: 'Control has granted it nothing here.',
  retryAfterSeconds: rateLimitedSeconds(undefined),
};
