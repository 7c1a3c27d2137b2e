/**
 * Exponential moving average of the fraction of calls that are delayed or refused, which decays while there are no calls.
 * A sidecar keeps one for the calls that wait for its target and one for all downstream calls of the target: downstream
 * calls carry no context that would tie them to a request, so each answer reports the level of all of them.
 */
import { averagingWeight } from '../common/averaging-weight.js';
import type { Clock } from '../common/clock.js';

/** Minimum weight of one call in the average: covers about the last twenty calls. */
const MIN_CALL_WEIGHT = 0.05;
/** Time constant, in milliseconds, by which infrequent calls are weighted with the time since the previous call. */
const AVERAGING_MS = 400;
/** Time without calls before the level decays, in milliseconds. */
const DECAY_DELAY_MS = 300;
/** Time constant of the decay, in milliseconds; about the time after which callers retry. */
const DECAY_MS = 1_000;

export class CongestionLevel {
  private level = 0;
  private updatedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Records a call. @param congestion 0 (neither refused nor delayed) to 1 (delayed, or refused for overload) */
  onCall(congestion: number): void {
    const before = this.current();
    const now = this.clock.now();
    const weight = averagingWeight(now - this.updatedAt, AVERAGING_MS, MIN_CALL_WEIGHT);
    this.updatedAt = now;
    this.level = before + weight * (congestion - before);
  }

  /** The current level, 0 to 1. */
  current(): number {
    const decayingMs = this.clock.now() - this.updatedAt - DECAY_DELAY_MS;
    return decayingMs <= 0 ? this.level : this.level * Math.exp(-decayingMs / DECAY_MS);
  }
}
