/** Measures how many requests of a group arrive at an ingress, by level: more urgent kinds come first. */
import { SlidingWindowCounter } from '../common/sliding-window-counter.js';
import { MS_PER_SECOND } from '../common/units.js';
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';
import { claimLevel, type ClaimLevel } from '../policy/scarcity-order.js';

/** Time in milliseconds over which rates are averaged; nothing is kept for a kind this long after its last request. */
const AVERAGED_MS = 1_500;
/** Length of the counters in milliseconds; they are averaged over whole steps of a twentieth. */
const COUNTED_MS = 2 * AVERAGED_MS;

/** Standard deviations of a random arrival count by which the least demand is below the observed one. */
const DEVIATIONS = 1.5;

export class KindDemand {
  /** Created with the first request of the level, since most groups use few. */
  private readonly offered: (SlidingWindowCounter | undefined)[] = new Array<undefined>(
    IMPORTANCE_COUNT,
  ).fill(undefined);

  onOffered(importance: Importance, now: number): void {
    const level = claimLevel({ importance });
    this.offered[level] ??= new SlidingWindowCounter(COUNTED_MS);
    this.offered[level].add(now);
  }

  /** Requests per second of this importance, at least: reduced by what may be chance. */
  leastPerSecond(importance: Importance, now: number): number {
    const perSecond = this.rateOf(claimLevel({ importance }), now);
    const deviation = Math.sqrt((perSecond * MS_PER_SECOND) / AVERAGED_MS);
    return perSecond - DEVIATIONS * deviation;
  }

  /** Requests per second of all kinds that are more urgent. */
  moreUrgentPerSecond(importance: Importance, now: number): number {
    let sum = 0;
    for (let level = 0; level < claimLevel({ importance }); level += 1) {
      sum += this.rateOf(level, now);
    }
    return sum;
  }

  private rateOf(level: ClaimLevel, now: number): number {
    return (this.offered[level]?.recentRate(AVERAGED_MS, now) ?? 0) * MS_PER_SECOND;
  }
}
