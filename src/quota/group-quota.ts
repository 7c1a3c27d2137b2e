/**
 * The permits of one group at one ingress: limits the requests that run in a sliding window to the number that control has
 * granted. Requests above it are refused as `rate-limited`. While the group is hot, some are kept for its urgent kinds.
 */
import { rateLimitedSeconds } from '../call/retry-after.js';
import { SlidingWindowCounter } from '../common/sliding-window-counter.js';
import { MS_PER_SECOND } from '../common/units.js';
import type { Importance } from '../policy/importance.js';
import { isHot, isRising, type WindowDemand } from './group-heat.js';
import { KindDemand } from './kind-demand.js';
import { PermitReserve, type PermitSupply } from './permit-reserve.js';
import { PROJECTED_MS, type GroupGrant, type GroupUse } from './quota-messages.js';
import { ReturnTimes } from './return-times.js';

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

/** Steps of the count of used permits: with fewer, permits return late, and requests are refused below the limit. */
const USED_STEPS = 100;

/** Counts the requests of one group and issues permits up to the granted allowance. */
export class GroupQuota {
  /** Requests per window that may run; valid until {@link validUntil}. */
  private allowance = 0;
  /** Monotonic milliseconds. */
  private validUntil = -Infinity;
  /** Whether control has said with the latest grant that the group asks for more than its limit. */
  private isLimited = false;
  /** Requests that have run or may have run. */
  private readonly used: SlidingWindowCounter;
  /** All requests, including refused ones. */
  private readonly offered: SlidingWindowCounter;
  private readonly countedMs: number;
  private hot = false;
  private readonly demand: KindDemand;
  private readonly reserve: PermitReserve;
  private readonly returns = new ReturnTimes();

  /** @param windowMs length of the window in milliseconds */
  constructor(private readonly windowMs: number) {
    this.countedMs = windowMs * (1 + WINDOW_MARGIN);
    this.used = new SlidingWindowCounter(this.countedMs, USED_STEPS);
    this.offered = new SlidingWindowCounter(this.countedMs);
    this.demand = new KindDemand();
    this.reserve = new PermitReserve(this.demand, this.countedMs);
  }

  /** Whether the group asks for more than its limit, and for more than its allowance here. */
  get isHot(): boolean {
    return this.hot;
  }

  /**
   * Applies a grant.
   * @param validUntil when the grant expires, in monotonic milliseconds
   */
  onGrant({ allowance, isLimited = false }: GroupGrant, validUntil: number, now: number): void {
    this.allowance = allowance;
    this.isLimited = isLimited;
    this.validUntil = validUntil;
    this.updateHeat(now);
  }

  /** Counts an incoming request of the group. */
  onOffered(importance: Importance, now: number): void {
    this.offered.add(now);
    this.demand.onOffered(importance, now);
    this.updateHeat(now);
  }

  /** Decides anew whether the group is hot, also when no request arrives. */
  updateHeat(now: number): void {
    this.hot = isHot(this.windowDemand(now));
  }

  /** Whether the demand has risen so much that control should hear of it before the allowance is used up. */
  isRising(now: number): boolean {
    return !this.isLimited && isRising(this.windowDemand(now));
  }

  /** Acquires a permit; undefined if the kind may have none now. */
  tryAcquire(importance: Importance, now: () => number): QuotaPermit | undefined {
    const takenAt = now();
    if (this.used.total(takenAt) + 1 > this.allowed(takenAt)) return undefined;
    if (this.hot && !this.reserve.mayTake(importance, this.supply(takenAt), takenAt)) {
      return undefined;
    }
    const step = this.used.add(takenAt);
    let isTaken = true;
    return {
      release: () => {
        if (isTaken) this.used.remove(step, now());
        isTaken = false;
      },
    };
  }

  /** Whether a hot group gets permits fast enough for all requests of this kind. */
  suffices(importance: Importance, now: number): boolean {
    return this.reserve.suffices(importance, this.supply(now), now);
  }

  /** Time until a request of this kind may obtain a permit of a hot group, in milliseconds. */
  msToPermit(importance: Importance, now: number): number {
    const supply = this.supply(now);
    const msToFree = supply.free < 1 ? this.used.msToNextExpiry(now) : 0;
    return Math.max(msToFree, this.reserve.msToPermit(importance, supply, now));
  }

  /** The usage of the group, for the report to control. */
  use(group: string, now: number): GroupUse {
    const used = this.used.total(now);
    const offered = this.offered.total(now);
    const { allowance: held, projected } = this.windowDemand(now);
    return { group, used, offered, held, projected: Math.round(projected) };
  }

  /** The state for one refused request of this kind; while the group is hot, each is told another time to return. */
  state(importance: Importance, now: number): QuotaState {
    const used = this.used.total(now);
    const isGranted = this.validUntil > now;
    if (!isGranted) return NOTHING_GRANTED;
    const counts = `It has used ${used} of ${this.allowance} here, of ${this.offered.total(now)} asked for.`;
    const isKept = this.hot && this.supply(now).free >= 1;
    const description = isKept ? `${counts} The rest is kept for more urgent kinds.` : counts;
    return { description, retryAfterSeconds: this.retryAfterSeconds(importance, now) };
  }

  private retryAfterSeconds(importance: Importance, now: number): number {
    if (this.allowance < 1) return rateLimitedSeconds(undefined);
    if (!this.hot) return rateLimitedSeconds(this.used.msToNextExpiry(now));
    // Requests that arrive meanwhile take all that the kind gets, so only the end of the surplus helps.
    const earliestMs = this.suffices(importance, now)
      ? Math.min(this.windowMs, this.msToPermit(importance, now))
      : this.windowMs;
    const spacingMs = this.windowMs / this.allowance;
    return rateLimitedSeconds(this.returns.next(importance, { earliestMs, spacingMs }, now));
  }

  private windowDemand(now: number): WindowDemand {
    const { countedMs: windowMs } = this;
    // What an expired grant said about the limit may be over, too.
    const isLimited = this.isLimited && this.validUntil > now;
    const projected = this.offered.recentRate(PROJECTED_MS, now) * windowMs;
    return { allowance: this.allowed(now), projected, windowMs, isLimited };
  }

  private supply(now: number): PermitSupply {
    const allowance = this.allowed(now);
    const free = Math.max(0, allowance - this.used.total(now));
    const neededFor = (perSecond: number): number =>
      this.used.largestLead(perSecond / MS_PER_SECOND, now);
    return { allowance, free, neededFor };
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
