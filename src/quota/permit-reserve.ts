/**
 * Keeps permits of a hot group for its more urgent kinds, in the order of `policy/scarcity-order.ts`. Without it, a group that
 * asks for several times its limit spends its permits on whatever comes first, however urgent the rest is.
 *
 * A kind takes a free permit if that leaves what more urgent kinds are expected to ask for beyond the permits that return
 * meanwhile. Nothing is kept for kinds that do not come, and the most urgent kind takes every free permit: a request that is
 * refused below the limit is lost for good, so permits are not spread over the window. Pure; limits nothing by itself.
 */
import { MS_PER_SECOND } from '../common/units.js';
import type { Importance } from '../policy/importance.js';
import type { KindDemand } from './kind-demand.js';

/** Time in milliseconds whose requests of more urgent kinds may come at once. */
const BURST_MS = 1_000;
/** Standard deviations of their number that are kept; their mean returns meanwhile, or is kept in addition. */
const BURST_DEVIATIONS = 1;
/** Maximum fraction of the allowance that is kept, so that the others always get some. */
const MAX_KEPT_FRACTION = 0.25;

/** The permits of a group at an ingress. */
export interface PermitSupply {
  readonly allowance: number;
  /** Permits that can be taken now. */
  readonly free: number;
  /** Permits that are needed now so that `perSecond` can be taken until others return. */
  readonly neededFor: (perSecond: number) => number;
}

export class PermitReserve {
  /** @param windowMs length of the window in milliseconds */
  constructor(
    private readonly demand: KindDemand,
    private readonly windowMs: number,
  ) {}

  /** Whether a kind may take a free permit now. */
  mayTake(importance: Importance, supply: PermitSupply, now: number): boolean {
    return supply.free >= 1 + this.keptFor(importance, supply, now);
  }

  /** Whether the allowance is enough for all requests of this kind and of more urgent ones. */
  suffices(importance: Importance, { allowance }: PermitSupply, now: number): boolean {
    const left = this.perSecond(allowance) - this.demand.moreUrgentPerSecond(importance, now);
    return this.demand.leastPerSecond(importance, now) <= left;
  }

  /** Time until a request of this kind may have a permit if all permits go to the kinds that come first, in milliseconds. */
  msToPermit(importance: Importance, supply: PermitSupply, now: number): number {
    const missing = 1 + this.keptFor(importance, supply, now) - supply.free;
    const urgent = this.demand.moreUrgentPerSecond(importance, now);
    const perSecond = this.perSecond(supply.allowance) - urgent;
    return perSecond > 0 ? Math.max(0, (missing * MS_PER_SECOND) / perSecond) : Infinity;
  }

  /** Permits that are kept for kinds that are more urgent than this one. */
  private keptFor(importance: Importance, supply: PermitSupply, now: number): number {
    const urgent = this.demand.moreUrgentPerSecond(importance, now);
    if (urgent === 0) return 0;
    const burst = BURST_DEVIATIONS * Math.sqrt((urgent * BURST_MS) / MS_PER_SECOND);
    const maxKept = supply.allowance * MAX_KEPT_FRACTION;
    return Math.floor(Math.min(maxKept, burst + supply.neededFor(urgent)));
  }

  private perSecond(allowance: number): number {
    return (allowance * MS_PER_SECOND) / this.windowMs;
  }
}
