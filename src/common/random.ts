/** Seeded pseudo-random numbers. The same seed gives the same sequence, so a simulation can be repeated from its seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A sequence of pseudo-random numbers. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number;
}

/** Number of 32-bit unsigned integers. */
const UINT32_RANGE = 0x1_0000_0000;

/** A random source that uses xoroshiro128+. */
export class SeededRandom implements RandomSource {
  private readonly generator;

  /** @param seed a 32-bit integer */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed | 0);
  }

  next(): number {
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }

  nextInt(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}

/** Returns a sample of the exponential distribution with the given mean. */
export function sampleExponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
