import { expect } from 'chai';
import { loadBuiltInScenario } from '../../lab/experiment/find-scenario.js';
import type { PromiseId } from '../../lab/experiment/promises.js';
import { simulateExperiment } from '../../lab/experiment/run-experiment.js';
import { loadDeployment } from '../../lab/model/load-deployment.js';
import type { Mechanisms } from '../../lab/simulator/mechanisms.js';

/** Each promise with a scenario that exercises it and a mechanism without which it is violated. */
const CASES: { promise: PromiseId; scenario: string; off: Partial<Mechanisms> }[] = [
  { promise: 'at-most-once', scenario: 'lost-answers', off: { claims: 'local' } },
  { promise: 'not-run-is-true', scenario: 'lost-answers', off: { writtenKnown: false } },
  { promise: 'no-new-work', scenario: 'planned-stops', off: { leaving: false } },
  {
    promise: 'no-starvation',
    scenario: 'flood-by-one-group',
    off: { sharing: 'importance-first' },
  },
  { promise: 'protected-last', scenario: 'surge-protected-hanoi', off: { limiter: 'unlimited' } },
  { promise: 'recovery', scenario: 'surge-slow-ranker', off: { shoredoor: false } },
  { promise: 'retry-bound', scenario: 'failing-hops', off: { retryBound: false } },
];
const SEEDS = [1, 2, 3];

function violationsOf(
  name: string,
  seed: number,
  off: Partial<Mechanisms>,
): ReadonlyMap<PromiseId, number> {
  const scenario = loadBuiltInScenario(name);
  const mechanisms = { ...scenario.mechanisms, ...off };
  const loaded = loadDeployment(scenario.deployment);
  const { violations } = simulateExperiment({ ...scenario, mechanisms }, loaded, seed);
  const counts = new Map<PromiseId, number>();
  for (const { promise } of violations) counts.set(promise, (counts.get(promise) ?? 0) + 1);
  return counts;
}

describe('promises in virtual time', function () {
  this.timeout(120_000);

  for (const { promise, scenario, off } of CASES) {
    it(`${scenario} keeps every promise`, () => {
      for (const seed of SEEDS) {
        const broken = [...violationsOf(scenario, seed, {}).keys()];
        expect(broken, `seed ${seed}`).to.deep.equal([]);
      }
    });

    it(`${scenario} breaks ${promise} with ${JSON.stringify(off)}`, () => {
      const broken = SEEDS.filter((seed) => violationsOf(scenario, seed, off).has(promise));
      expect(broken).to.not.deep.equal([]);
    });
  }
});
