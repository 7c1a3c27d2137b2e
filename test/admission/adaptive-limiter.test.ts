import { expect } from 'chai';
import { AdaptiveLimiter } from '../../src/admission/adaptive-limiter.js';
import { SeededRandom } from '../../src/common/random.js';
import { DEFAULT_SERVICE_SPEC } from '../../src/policy/resource-schema.js';

function adaptiveSpec(initial: number) {
  return { algorithm: 'adaptive', initial, min: 2, max: 92 } as const;
}

describe('AdaptiveLimiter', () => {
  it('begins at the declared limit once the first configuration is known', () => {
    const limiter = new AdaptiveLimiter(DEFAULT_SERVICE_SPEC.concurrency, new SeededRandom(1));
    limiter.configure(adaptiveSpec(23));
    expect(limiter.limit).to.equal(23);
  });

  it('keeps what it has learned when the declaration changes later', () => {
    const limiter = new AdaptiveLimiter(DEFAULT_SERVICE_SPEC.concurrency, new SeededRandom(1));
    limiter.configure(adaptiveSpec(23));
    limiter.configure(adaptiveSpec(40));
    expect(limiter.limit).to.equal(23);
  });

  it('follows a fixed limit at once', () => {
    const limiter = new AdaptiveLimiter(DEFAULT_SERVICE_SPEC.concurrency, new SeededRandom(1));
    limiter.configure(adaptiveSpec(23));
    limiter.configure({ algorithm: 'fixed', initial: 7, min: 1, max: 50 });
    expect(limiter.limit).to.equal(7);
  });
});
