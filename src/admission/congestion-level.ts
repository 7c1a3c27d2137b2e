/**
 * Which part of the calls at one place is delayed or refused: a moving average that fades without calls.
 * Sidecars keep one of the calls that wait for their target and one of the calls that their target
 * makes. A target passes no context on, so its calls can't be tied to the ones it is working on: each
 * of its answers carries the level of all. Owns one average; relies on its callers for what counts as delayed. Pure.
 */
import type { Clock } from '../common/clock.js';

/** Least weight of one call in the average: it follows some twenty calls. */
const MIN_CALL_WEIGHT = 0.05;
/** Where calls are rare each stands for the time since the one before, against this, in milliseconds. */
const AVERAGING_MS = 400;
/** Without calls for this long, what was learned fades, in milliseconds. */
const DECAY_DELAY_MS = 300;
/** Time constant of fading, in milliseconds: callers try again within a second or two. */
const DECAY_MS = 1_000;

export class CongestionLevel {
  private level = 0;
  private updatedAt = 0;

  constructor(private readonly clock: Clock) {}

  /** A call ended. @param congestion from 0, neither refused nor delayed, to 1, refused for overload or delayed */
  onCall(congestion: number): void {
    const before = this.current();
    const now = this.clock.now();
    const weight = Math.max(MIN_CALL_WEIGHT, 1 - Math.exp((this.updatedAt - now) / AVERAGING_MS));
    this.updatedAt = now;
    this.level = before + weight * (congestion - before);
  }

  /** The level now, from 0 to 1. */
  current(): number {
    const decayingMs = this.clock.now() - this.updatedAt - DECAY_DELAY_MS;
    return decayingMs <= 0 ? this.level : this.level * Math.exp(-decayingMs / DECAY_MS);
  }
}
