/**
 * The routes whose calls targets make, as gates say with their answers. A single gate may be wrong, or not know yet, and
 * routes change: what most of the latest answers say holds. Owns what one process learned; a gate draws its own
 * conclusion from where calls begin (origin-tracker.ts).
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one answer: what the last ten or so say counts. */
const SMOOTHING_FACTOR = 0.1;

/** Part of the latest answers above which they are believed. */
const MAJORITY = 0.5;

/** Routes that are remembered, a bound on memory; routes come and go with the configuration. */
const MAX_ROUTES = 1_000;

export class NestedRoutes {
  /** Part of the latest answers that said so, by route. */
  private readonly nestedFractions = new BoundedMap<number>(MAX_ROUTES);

  /** Whether targets make the calls of `route`. */
  has(route: string): boolean {
    return (this.nestedFractions.get(route) ?? 0) > MAJORITY;
  }

  /** A gate answered a call of `route`. @returns whether {@link has} has changed by it */
  onAnswer(route: string, isNested: boolean): boolean {
    const before = this.has(route);
    const part = this.nestedFractions.get(route);
    if (part === undefined && !isNested) return false;
    const present = part ?? 0;
    this.nestedFractions.set(route, present + SMOOTHING_FACTOR * ((isNested ? 1 : 0) - present));
    return this.has(route) !== before;
  }
}
