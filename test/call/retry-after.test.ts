import { expect } from 'chai';
import { clientRetryAfterSeconds } from '../../src/call/retry-after.js';
import type { Refusal } from '../../src/call/refusal.js';
import { SeededRandom } from '../../src/common/random.js';

const OVERLOADED: Refusal = {
  reason: 'overload',
  verdict: 'not-run',
  retryAfterSeconds: 1,
  detail: '',
};

describe('the time after which a refused request is to come again', () => {
  const random = new SeededRandom(1);

  it('leaves most of the objective, and spreads', () => {
    for (const objectiveMs of [200, 5_000]) {
      const seconds = Array.from({ length: 100 }, () =>
        clientRetryAfterSeconds(objectiveMs, OVERLOADED, random),
      );
      expect(Math.min(...seconds)).to.be.within(0.1 * (objectiveMs / 1_000), objectiveMs / 5_000);
      expect(Math.max(...seconds)).to.be.within(0.3 * (objectiveMs / 1_000), objectiveMs / 2_000);
    }
  });

  it('is not told where coming again does not help, or the request may have run', () => {
    const bad: Refusal = { ...OVERLOADED, retryAfterSeconds: 0 };
    const unknown: Refusal = { ...OVERLOADED, verdict: 'may-have-run' };
    for (const refusal of [bad, unknown]) {
      expect(clientRetryAfterSeconds(1_000, refusal, random)).to.equal(0);
    }
  });
});
