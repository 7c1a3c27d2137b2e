/**
 * The random source that decision modules are given. One seed gives one sequence, so a simulated
 * run can be replayed from its seed. Owns the state of its generator; relies on pure-rand.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A stream of pseudo-random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, bound). */
  below(bound: number): number;
}

/** Number of 32-bit unsigned numbers. */
const UINT32_RANGE = 0x1_0000_0000;

/** A seeded random source backed by pure-rand's xoroshiro128+. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  /** @param seed any 32-bit whole number; the same seed gives the same sequence */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed | 0);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** Draws from an exponential distribution with the given mean. */
export function exponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
