import { expect } from 'chai';
import { ClaimWorld, type ClaimRunResult } from '../../lab/simulator/claims/claim-world.js';

const SEEDS = 60;
const SEEDS_WITHOUT_MECHANISM = 10;
const DURATION_MS = 15_000;
const NODE_COUNTS = [3, 4, 5, 6, 7];

function simulate(seed: number, assumeComplete: boolean): ClaimRunResult {
  const nodes = NODE_COUNTS[seed % NODE_COUNTS.length]!;
  return new ClaimWorld({
    seed,
    nodes,
    durationMs: DURATION_MS,
    assumeComplete,
  }).execute();
}

describe('claims of idempotency keys under faults', function () {
  this.timeout(120_000);

  it(`let each key's call run at most once with ${SEEDS} seeds`, () => {
    let ran = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = simulate(seed, false);
      ran += result.ran;
      expect(result.violations, `seed ${seed}`).to.deep.equal([]);
    }
    expect(ran).to.be.greaterThan(SEEDS);
  });

  it('let calls run twice when replicas believe that they know every claim', () => {
    const seeds = Array.from({ length: SEEDS_WITHOUT_MECHANISM }, (_, index) => index + 1);
    const broken = seeds.filter((seed) => simulate(seed, true).violations.length > 0);
    expect(broken).to.not.deep.equal([]);
  });
});
