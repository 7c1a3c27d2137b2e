import { expect } from 'chai';
import fc from 'fast-check';
import { SeededRandom } from '../../src/common/random.js';
import { retryBound, type BoundService } from '../../lab/retries/retry-bound.js';

const REQUESTS = 20_000;

/**
 * Simulates a policy that retries at random.
 * @returns the fraction of requests that complete, and the retries per first attempt
 */
function simulateRandomRetries(
  calls: number,
  { reject, attempts }: BoundService,
  repeatPart: number,
  seed: number,
) {
  const random = new SeededRandom(seed);
  let finished = 0;
  let firsts = 0;
  let repeats = 0;
  const succeeds = (): boolean => {
    firsts += 1;
    for (let attempt = 1; random.next() < reject; attempt += 1) {
      if (attempt >= attempts || random.next() >= repeatPart) return false;
      repeats += 1;
    }
    return true;
  };
  for (let request = 0; request < REQUESTS; request += 1) {
    let done = 0;
    while (done < calls && succeeds()) done += 1;
    if (done === calls) finished += 1;
  }
  return { finished: finished / REQUESTS, ratio: repeats / firsts };
}

describe('the bound on what retries can finish', () => {
  const service = { reject: 0.55, ratio: 0.2, slackPerSecond: 0, attempts: 2 };
  const kind = { name: 'view', perSecond: 100, calls: 4, together: false, worth: 1 };

  it('is what calls finish without repeats where none are allowed', () => {
    const { worth } = retryBound([kind], { ...service, ratio: 0 });
    expect(worth).to.be.closeTo(0.45 ** 4, 1e-9);
  });

  it('is what calls finish with all their attempts where the budget allows for them', () => {
    const { worth } = retryBound([kind], { ...service, ratio: 1 });
    expect(worth).to.be.closeTo((1 - 0.55 ** 2) ** 4, 1e-9);
  });

  it('spends a short budget on the calls that are nearly through', () => {
    const { worth, kinds } = retryBound([kind], service);
    expect(worth).to.be.closeTo(0.128, 0.001);
    expect(kinds[0]!.repeats / kinds[0]!.firsts).to.be.closeTo(service.ratio, 1e-6);
  });

  it('gives what one call finishes to requests of one call first', () => {
    const single = { ...kind, name: 'check', calls: 1, perSecond: 20 };
    const [ofMany, ofOne] = retryBound([kind, single], service).kinds;
    expect(ofOne!.finished).to.be.closeTo(1 - 0.55 ** 2, 1e-6);
    expect(ofMany!.finished).to.be.below(0.128);
  });

  it('is not passed by repeats that are sent by chance', () => {
    const cases = fc.record({
      calls: fc.integer({ min: 1, max: 5 }),
      reject: fc.double({ min: 0.05, max: 0.7, noNaN: true }),
      attempts: fc.integer({ min: 1, max: 3 }),
      repeatPart: fc.double({ min: 0, max: 1, noNaN: true }),
      seed: fc.nat(1_000),
    });
    fc.assert(
      fc.property(cases, ({ calls, reject, attempts, repeatPart, seed }) => {
        const played = simulateRandomRetries(
          calls,
          { ...service, reject, attempts },
          repeatPart,
          seed,
        );
        const budget = { reject, attempts, ratio: Math.min(1, played.ratio), slackPerSecond: 0 };
        const { worth } = retryBound([{ ...kind, calls }], budget);
        expect(played.finished).to.be.at.most(worth + 0.015);
      }),
      { numRuns: 30, seed: 5 },
    );
  });
});
