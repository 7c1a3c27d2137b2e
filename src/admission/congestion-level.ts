/**
 * How much of the calls at one place is held up or refused: a moving average that fades without calls.
 * Sidecars keep one of the calls that wait for their target and one of the calls that their target
 * makes. A target passes no context on, so its calls can't be tied to the ones it is working on: each
 * of its answers carries the level of all.
 */
import type { Clock } from '../common/clock.js';

/** Weight of one call in the average. */
const CALL_WEIGHT = 0.05;
/** Without calls, what was learned fades with this time constant, in milliseconds. */
const MEMORY_MS = 1_000;

export class CongestionLevel {
  private level = 0;
  private learnedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** A call ended. @param congestion from 0, not held up, to 1, refused for overload or held up */
  onCall(congestion: number): void {
    const before = this.current();
    this.learnedAt = this.clock.now();
    this.level = before + CALL_WEIGHT * (congestion - before);
  }

  /** The level now, from 0 to 1. */
  current(): number {
    return this.level * Math.exp((this.learnedAt - this.clock.now()) / MEMORY_MS);
  }
}
