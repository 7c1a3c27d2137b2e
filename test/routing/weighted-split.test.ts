import { expect } from 'chai';
import fc from 'fast-check';
import { SeededRandom } from '../../src/common/random.js';
import type { Route } from '../../src/policy/route-table.js';
import { WeightedSplit } from '../../src/routing/weighted-split.js';

function route(weights: readonly number[]): Route {
  return {
    name: 'r',
    repeatable: true,
    bulk: false,
    timeoutMs: 1_000,
    objectiveMs: 1_000,
    rank: 0,
    importance: 3,
    maxTargets: 1,
    anonymous: false,
    backends: weights.map((weight, index) => ({ service: `s${index}`, weight })),
  };
}

describe('the weighted split of a route', () => {
  it('keeps every backend within a few requests of its share, whatever the weights', () => {
    const weights = fc.array(fc.integer({ min: 0, max: 100 }), { minLength: 2, maxLength: 5 });
    fc.assert(
      fc.property(weights, fc.integer(), fc.integer({ min: 1, max: 500 }), (parts, seed, count) => {
        const total = parts.reduce((sum, part) => sum + part, 0);
        fc.pre(total > 0);
        const split = new WeightedSplit(new SeededRandom(seed));
        const seen = new Map<string, number>();
        for (let index = 0; index < count; index += 1) {
          const service = split.next(route(parts));
          seen.set(service, (seen.get(service) ?? 0) + 1);
        }
        parts.forEach((part, index) => {
          const share = (count * part) / total;
          expect(seen.get(`s${index}`) ?? 0).to.be.closeTo(share, parts.length);
        });
      }),
    );
  });

  it('begins anew when the weights change', () => {
    const split = new WeightedSplit(new SeededRandom(1));
    for (let index = 0; index < 50; index += 1) split.next(route([90, 10]));
    let first = 0;
    for (let index = 0; index < 100; index += 1) {
      if (split.next(route([10, 90])) === 's0') first += 1;
    }
    expect(first).to.be.closeTo(10, 2);
  });
});
