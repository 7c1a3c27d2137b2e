/** The random source of a process. */
import { randomInt } from 'node:crypto';
import { SeededRandom } from '../common/random.js';

/** Seeds are 32-bit unsigned integers. */
const SEED_BOUND = 2 ** 32;

/**
 * Creates a random source with a cryptographically random seed. Seeds from time and process id differ in only a few bits
 * between processes that start together, which would then make the same first choices.
 */
export function processRandom(): SeededRandom {
  return new SeededRandom(randomInt(SEED_BOUND));
}
