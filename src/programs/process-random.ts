/** The random source of a process. Owns nothing; relies on the random numbers of the operating system. */
import { randomInt } from 'node:crypto';
import { SeededRandom } from '../common/random.js';

/** Seeds are 32-bit numbers. */
const SEED_BOUND = 2 ** 32;

/**
 * A source with a seed from the system. Not from time and process id: those of processes that start
 * together differ in a few bits, their sources begin with the same numbers, and all choose alike.
 */
export function processRandom(): SeededRandom {
  return new SeededRandom(randomInt(SEED_BOUND));
}
