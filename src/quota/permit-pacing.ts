/**
 * Releases the permits of a hot group evenly and in the order of `policy/scarcity-order.ts`. Without it, a group that asks for
 * several times its limit spends the permits of a window within a second on whatever comes first, and nothing runs for the
 * rest of the window, however urgent.
 *
 * Permits that are free, and those that become free soon, are released at an even rate into a stock. A kind takes a permit if
 * that leaves in the stock what more urgent kinds are expected to ask for soon; nothing is kept for kinds that do not come.
 * The most urgent kind takes free permits even if the stock is empty, unless the rate does not suffice for it alone. Pure; limits nothing by itself.
 */
import { MS_PER_SECOND } from '../common/units.js';
import { LOWEST_IMPORTANCE, type Importance } from '../policy/importance.js';
import type { KindDemand } from './kind-demand.js';

/** Time in milliseconds over which free permits are spread. Shorter than the window, to follow permits as they return. */
export const PACE_HORIZON_MS = 500;
/** Fraction of the mean rate of a window that is released at least, so that the permits of a window last until they return. */
export const LEAST_RATE_FRACTION = 0.5;
/** Time in milliseconds for whose requests of more urgent kinds permits are kept. */
const RESERVED_MS = 1_000;
/** Standard deviations of the number of these requests that are kept: their mean is released in this time anyway. */
const RESERVED_DEVIATIONS = 1.5;
/** Maximum fraction of the allowance that is kept, so that small allowances are not held back as a whole. */
const MAX_RESERVED_FRACTION = 0.25;
/** Permits released within this many milliseconds may accumulate on top of what is kept, since arrivals are uneven. */
const BURST_MS = 250;
const MIN_BURST = 1;

/** The permits of a group at an ingress. */
export interface PermitSupply {
  readonly allowance: number;
  /** Permits that can be taken now. */
  readonly free: number;
  /** Permits that become free within {@link PACE_HORIZON_MS}. */
  readonly returning: number;
  /** Free permits that are needed to release {@link LEAST_RATE_FRACTION} of the mean rate until others return. */
  readonly neededLater: number;
}

export class PermitPacing {
  private stock = 0;
  private updatedAt = 0;

  constructor(
    private readonly demand: KindDemand,
    private readonly windowMs: number,
  ) {}

  /** Begins with a stock that serves the next moments. */
  start(supply: PermitSupply, now: number): void {
    this.updatedAt = now;
    this.stock = 0;
    this.stock = this.maxStock(supply, now);
  }

  /** Takes a permit for a kind if it may have one now. */
  tryTake(importance: Importance, supply: PermitSupply, now: number): boolean {
    this.refill(supply, now);
    const needed = 1 + this.reservedFor(importance, supply, now);
    const isAllowed = this.stock >= needed || this.isFirst(importance, supply, now);
    if (supply.free < 1 || !isAllowed) return false;
    this.stock = Math.max(0, this.stock - 1);
    return true;
  }

  /** Whether permits are released fast enough for all requests of this kind and of more urgent ones. */
  suffices(importance: Importance, supply: PermitSupply, now: number): boolean {
    const perSecond = Math.max(this.releasedPerSecond(supply), this.meanPerSecond(supply));
    const left = perSecond - this.demand.moreUrgentPerSecond(importance, now);
    return this.demand.leastPerSecond(importance, now) <= left;
  }

  /** Time until this kind may have a permit if all permits go to the kinds that come first, in milliseconds. */
  msToPermit(importance: Importance, supply: PermitSupply, now: number): number {
    this.refill(supply, now);
    const missing = 1 + this.reservedFor(importance, supply, now) - this.stock;
    const perSecond = this.leftPerSecond(importance, supply, now);
    return perSecond > 0 ? Math.max(0, (missing * MS_PER_SECOND) / perSecond) : Infinity;
  }

  /** Whether the kind is the most urgent one and gets all that it asks for. */
  private isFirst(importance: Importance, supply: PermitSupply, now: number): boolean {
    const isMostUrgent = this.demand.moreUrgentPerSecond(importance, now) === 0;
    return isMostUrgent && this.suffices(importance, supply, now);
  }

  private refill(supply: PermitSupply, now: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.updatedAt = now;
    const released = (elapsedMs * this.releasedPerSecond(supply)) / MS_PER_SECOND;
    this.stock = Math.min(this.stock + released, this.maxStock(supply, now));
  }

  private releasedPerSecond(supply: PermitSupply): number {
    const { free, returning, neededLater } = supply;
    const releasable = Math.max(0, free - neededLater - this.stock + returning);
    const leastPerSecond = LEAST_RATE_FRACTION * this.meanPerSecond(supply);
    return Math.max(leastPerSecond, (releasable * MS_PER_SECOND) / PACE_HORIZON_MS);
  }

  private meanPerSecond({ allowance }: PermitSupply): number {
    return (allowance * MS_PER_SECOND) / this.windowMs;
  }

  private leftPerSecond(importance: Importance, supply: PermitSupply, now: number): number {
    return this.releasedPerSecond(supply) - this.demand.moreUrgentPerSecond(importance, now);
  }

  private reservedFor(importance: Importance, { allowance }: PermitSupply, now: number): number {
    const expected =
      (this.demand.moreUrgentPerSecond(importance, now) * RESERVED_MS) / MS_PER_SECOND;
    const kept = RESERVED_DEVIATIONS * Math.sqrt(expected);
    return Math.floor(Math.min(kept, allowance * MAX_RESERVED_FRACTION));
  }

  private maxStock(supply: PermitSupply, now: number): number {
    const burst = (this.releasedPerSecond(supply) * BURST_MS) / MS_PER_SECOND;
    const reserved = this.reservedFor(LOWEST_IMPORTANCE, supply, now);
    return Math.min(supply.free, reserved + Math.max(MIN_BURST, burst));
  }
}
