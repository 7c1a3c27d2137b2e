import { expect } from 'chai';
import { processRandom } from '../../src/programs/process-random.js';

const PROCESSES = 300;
const CHOICES = 3;

describe('the random sources of processes that start together', () => {
  it('begin with different choices', () => {
    const counts = Array.from({ length: CHOICES }, () => 0);
    for (let each = 0; each < PROCESSES; each += 1) counts[processRandom().nextInt(CHOICES)]! += 1;
    // The expected count is 100 each; a count below 50 has a probability of 10^-9.
    for (const count of counts) expect(count).to.be.above(PROCESSES / CHOICES / 2);
  });
});
