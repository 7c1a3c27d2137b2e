/** Counts the repeats that the kinds of calls at a gate ask for and get, by level. */
import { BoundedMap } from '../common/bounded-map.js';
import { SlidingWindowCounter } from '../common/sliding-window-counter.js';
import type { ClaimLevel } from '../policy/scarcity-order.js';
import type { UrgentRepeats } from './accepted-repeats.js';

/** Levels that are kept, to bound memory; groups have few ranks. */
const MAX_LEVELS = 64;
/** Fraction of the window over which the rate of asked repeats is averaged, and after which nothing is kept for a level. */
const AVERAGED_FRACTION = 0.2;

/** Windows of expected repeats that are kept: the counters count an event for too long by up to a twentieth of the window. */
const COUNTED_WINDOWS = 1.1;

interface LevelCounters {
  readonly asked: SlidingWindowCounter;
  readonly granted: SlidingWindowCounter;
}

export class RepeatDemand {
  private readonly levels = new BoundedMap<LevelCounters, ClaimLevel>(MAX_LEVELS);

  /** @param windowMs length of the window of the budget, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /** A repeat asks for room, whether or not it gets it. */
  onAsked(level: ClaimLevel, now: number): void {
    this.countersOf(level).asked.add(now);
  }

  /** Counts granted repeats; a negative count takes back what did not arrive. */
  onGranted(level: ClaimLevel, count: 1 | -1, now: number): void {
    this.countersOf(level).granted.add(now, count);
  }

  /** The repeats of levels that are more urgent than this one. */
  moreUrgent(level: ClaimLevel, now: number): UrgentRepeats {
    let expected = 0;
    let granted = 0;
    for (const [other, counters] of this.levels) {
      if (other >= level) continue;
      const askedPerMs = counters.asked.recentRate(AVERAGED_FRACTION * this.windowMs, now);
      expected += askedPerMs * this.windowMs * COUNTED_WINDOWS;
      granted += counters.granted.total(now);
    }
    return { expected, granted };
  }

  private countersOf(level: ClaimLevel): LevelCounters {
    let counters = this.levels.get(level);
    if (counters === undefined) {
      counters = {
        asked: new SlidingWindowCounter(this.windowMs),
        granted: new SlidingWindowCounter(this.windowMs),
      };
      this.levels.set(level, counters);
    }
    return counters;
  }
}
