import { expect } from 'chai';
import { comeBackSeconds } from '../../src/ingress/ingress-policy.js';
import type { Refusal } from '../../src/call/refusal.js';
import { SeededRandom } from '../../src/common/random.js';
import type { Route } from '../../src/policy/route-table.js';

const OVERLOADED: Refusal = {
  reason: 'overload',
  verdict: 'not-run',
  retryAfterSeconds: 1,
  detail: '',
};

describe('the time after which a refused request is to come again', () => {
  const random = new SeededRandom(1);
  const route = (objectiveMs: number): Route => ({
    name: 'r',
    repeatable: true,
    bulk: false,
    timeoutMs: 10_000,
    objectiveMs,
    rank: 1,
    importance: 2,
    maxTargets: 2,
    anonymous: false,
    backends: [],
  });

  it('leaves most of the objective, and spreads', () => {
    for (const objectiveMs of [200, 5_000]) {
      const seconds = Array.from({ length: 100 }, () =>
        comeBackSeconds(route(objectiveMs), OVERLOADED, random),
      );
      expect(Math.min(...seconds)).to.be.within(0.1 * (objectiveMs / 1_000), objectiveMs / 5_000);
      expect(Math.max(...seconds)).to.be.within(0.3 * (objectiveMs / 1_000), objectiveMs / 2_000);
    }
  });

  it('is not told where coming again does not help, or the request may have run', () => {
    const bad: Refusal = { ...OVERLOADED, retryAfterSeconds: 0 };
    const unknown: Refusal = { ...OVERLOADED, verdict: 'may-have-run' };
    for (const refusal of [bad, unknown]) {
      expect(comeBackSeconds(route(1_000), refusal, random)).to.equal(0);
    }
  });
});
