/**
 * Guards against gates that, under overload, let in retries of clients that can no longer meet their objective before first
 * attempts that can, because they can't tell the two apart.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { ClientWaitEstimator } from '../../src/ingress/client-wait-estimator.js';

const ROUTE = 'search';
const FIRST_ATTEMPT_TIMEOUT_MS = 6_000;

/** Creates an estimator that has recorded a few first attempts of the route. */
function createTrained(): ClientWaitEstimator {
  const waits = new ClientWaitEstimator();
  for (let request = 0; request < 5; request += 1)
    waits.estimateWaitedMs(ROUTE, FIRST_ATTEMPT_TIMEOUT_MS);
  return waits;
}

describe('the time that clients have waited before', () => {
  it('is what is missing of the time that first attempts come with', () => {
    const waits = createTrained();
    expect(waits.estimateWaitedMs(ROUTE, FIRST_ATTEMPT_TIMEOUT_MS)).to.equal(0);
    expect(waits.estimateWaitedMs(ROUTE, 5_370)).to.equal(630);
  });

  it('is not known before first attempts were seen, or where clients do not say how long they wait', () => {
    const waits = new ClientWaitEstimator();
    expect(waits.estimateWaitedMs(ROUTE, 5_370)).to.equal(0);
    expect(waits.estimateWaitedMs(ROUTE, undefined)).to.equal(0);
    expect(createTrained().estimateWaitedMs('another', 5_370)).to.equal(0);
  });

  it('is none for clients with a shorter time of their own', () => {
    const waits = createTrained();
    let last = 0;
    for (let request = 0; request < 5; request += 1) last = waits.estimateWaitedMs(ROUTE, 2_000);
    expect(last).to.equal(0);
  });

  it('is told where most requests come again, and follows clients that change their time', () => {
    const waits = createTrained();
    for (let request = 0; request < 3_000; request += 1) {
      waits.estimateWaitedMs(
        ROUTE,
        request % 3 === 0 ? FIRST_ATTEMPT_TIMEOUT_MS : 3_000 + ((request * 37) % 2_500),
      );
    }
    expect(waits.estimateWaitedMs(ROUTE, FIRST_ATTEMPT_TIMEOUT_MS)).to.equal(0);
    expect(waits.estimateWaitedMs(ROUTE, 5_995)).to.be.below(10);
    expect(waits.estimateWaitedMs(ROUTE, 1_000)).to.equal(5_000);
    for (let request = 0; request < 3_000; request += 1) waits.estimateWaitedMs(ROUTE, 4_000);
    expect(waits.estimateWaitedMs(ROUTE, 3_500)).to.equal(500);
  });

  it('is never negative, whatever clients say', () => {
    const times = fc.array(fc.double({ min: 0, max: 1e9, noNaN: true }), { maxLength: 200 });
    fc.assert(
      fc.property(times, (timeouts) => {
        const waits = new ClientWaitEstimator();
        for (const each of timeouts) expect(waits.estimateWaitedMs(ROUTE, each)).to.be.at.least(0);
      }),
    );
  });
});

describe('the limit of a kind, for requests that are late anyway', () => {
  it('keeps a part for those that can still be in time', () => {
    const limiter = new KindLimiter(new VirtualClock());
    const enter = (missesObjective: boolean): string =>
      limiter.enter(ROUTE, { isUncongested: false, isCongested: true, missesObjective }).type;
    let late = 0;
    while (enter(true) === 'entered') late += 1;
    let inTime = 0;
    while (enter(false) === 'entered') inTime += 1;
    expect(late).to.be.above(0);
    expect(inTime).to.be.at.least(late);
  });
});
