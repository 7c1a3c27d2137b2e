/** A token bucket whose rate can change. Tokens accrue continuously up to the capacity. Pure: times are passed in. */
import { MS_PER_SECOND } from '../common/units.js';

export interface TokenBucketRate {
  /** Tokens that accrue in a second, more than 0. */
  readonly perSecond: number;
  /** Maximum number of tokens, at least 1. */
  readonly capacity: number;
}

export class TokenBucket {
  /**
   * @param tokens tokens at the start
   * @param updatedAt time of the start, in monotonic milliseconds
   */
  constructor(
    private rate: TokenBucketRate,
    private tokens: number,
    private updatedAt: number,
  ) {}

  get perSecond(): number {
    return this.rate.perSecond;
  }

  /** Changes the rate. Tokens above the new capacity are lost. */
  setRate(rate: TokenBucketRate, now: number): void {
    this.refill(now);
    this.rate = rate;
    this.tokens = Math.min(this.tokens, rate.capacity);
  }

  /** Takes one token if there are at least `needed`. @returns whether it was taken */
  take(needed: number, now: number): boolean {
    this.refill(now);
    if (this.tokens < needed) return false;
    this.tokens -= 1;
    return true;
  }

  /** Time until there are `needed` tokens, in milliseconds; Infinity if there never are. */
  msUntil(needed: number, now: number): number {
    if (needed > this.rate.capacity) return Infinity;
    this.refill(now);
    return Math.max(0, ((needed - this.tokens) * MS_PER_SECOND) / this.rate.perSecond);
  }

  private refill(now: number): void {
    const accrued = ((now - this.updatedAt) * this.rate.perSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.rate.capacity, this.tokens + Math.max(0, accrued));
    this.updatedAt = Math.max(now, this.updatedAt);
  }
}
