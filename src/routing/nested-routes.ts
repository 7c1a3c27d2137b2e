/**
 * Tracks which routes are nested, that is, called by targets and not by clients. Gates report this with their answers
 * (origin-tracker.ts). As a single gate may be wrong or may not know yet, the majority of the latest answers decides.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Smoothing factor of the exponential moving average, which covers about ten answers. */
const SMOOTHING_FACTOR = 0.1;

/** Fraction of the latest answers above which a route counts as nested. */
const MAJORITY = 0.5;

/** Largest number of routes kept. Bounds memory when routes are added and removed. */
const MAX_ROUTES = 1_000;

export class NestedRoutes {
  /** Fraction of the latest answers that reported the route as nested, by route. */
  private readonly nestedFractions = new BoundedMap<number>(MAX_ROUTES);

  /** Whether targets make the calls of `route`. */
  has(route: string): boolean {
    return (this.nestedFractions.get(route) ?? 0) > MAJORITY;
  }

  /** Records the answer of a gate to a call of `route`. @returns whether {@link has} has changed */
  onAnswer(route: string, isNested: boolean): boolean {
    const before = this.has(route);
    const part = this.nestedFractions.get(route);
    if (part === undefined && !isNested) return false;
    const present = part ?? 0;
    this.nestedFractions.set(route, present + SMOOTHING_FACTOR * ((isNested ? 1 : 0) - present));
    return this.has(route) !== before;
  }
}
