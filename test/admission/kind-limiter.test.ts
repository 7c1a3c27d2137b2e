import { expect } from 'chai';
import { KindImpact } from '../../src/admission/kind-impact.js';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

const KIND = 'browse';
const MAX_TARGET_MS = 400;

describe('the limit of a kind of request', () => {
  /**
   * Simulates a downstream service that answers `perSecond` requests per second at any concurrency, under `demand` requests
   * per second. @returns the number of refused requests, and the mean duration of those answered in the last second
   */
  function simulateOverload(
    perSecond: number,
    demand: number,
    limiter: KindLimiter,
    clock: VirtualClock,
  ) {
    const beganAt: number[] = [];
    const durationsMs: number[] = [];
    let refused = 0;
    const stepMs = 1;
    let arrivals = 0;
    let answers = 0;
    for (let ms = 0; ms < 6_000; ms += stepMs) {
      clock.advance(stepMs);
      arrivals += demand / 1_000;
      answers = Math.min(answers + perSecond / 1_000, beganAt.length + 1);
      for (; arrivals >= 1; arrivals -= 1) {
        if (limiter.enter(KIND).type === 'entered') beganAt.push(clock.now());
        else refused += 1;
      }
      for (; answers >= 1 && beganAt.length > 0; answers -= 1) {
        const held = clock.now() - beganAt.shift()!;
        const isCongested = held > MAX_TARGET_MS / 4;
        const answer = {
          maxDurationMs: MAX_TARGET_MS,
          succeeded: true,
          durationMs: held,
          isCongested,
        };
        limiter.onAnswer(KIND, answer);
        limiter.leave(KIND);
        if (ms > 5_000) durationsMs.push(held);
      }
    }
    return {
      refused,
      meanMs: durationsMs.reduce((sum, each) => sum + each, 0) / durationsMs.length,
    };
  }

  it('keeps the time in the target near what is wanted, whatever the rate', () => {
    for (const perSecond of [10, 50, 300]) {
      const clock = new VirtualClock();
      const { meanMs } = simulateOverload(perSecond, 3 * perSecond, new KindLimiter(clock), clock);
      expect(meanMs).to.be.within(MAX_TARGET_MS / 3, 1.3 * MAX_TARGET_MS);
    }
  });

  it('refuses nobody where all can be answered', () => {
    const clock = new VirtualClock();
    expect(simulateOverload(100, 50, new KindLimiter(clock), clock).refused).to.equal(0);
  });

  it('lets in few of a kind of which nothing is known, and soon all', () => {
    const clock = new VirtualClock();
    const limiter = new KindLimiter(clock);
    let entered = 0;
    while (limiter.enter(KIND).type === 'entered') entered += 1;
    expect(entered).to.be.within(2, 10);
    for (let answer = 0; answer < 100; answer += 1) {
      clock.advance(20);
      const uncongested = {
        maxDurationMs: MAX_TARGET_MS,
        succeeded: true,
        durationMs: 20,
        isCongested: false,
      };
      limiter.onAnswer(KIND, uncongested);
      limiter.leave(KIND);
      limiter.enter(KIND);
    }
    expect(limiter.limitOf(KIND)).to.equal(Infinity);
  });

  it('is gone soon after the calls below are held up no more', () => {
    const clock = new VirtualClock();
    const limiter = new KindLimiter(clock);
    simulateOverload(50, 150, limiter, clock);
    expect(limiter.limitOf(KIND)).to.be.below(100);
    for (let answer = 0; answer < 200; answer += 1) {
      clock.advance(20);
      const uncongested = {
        maxDurationMs: MAX_TARGET_MS,
        succeeded: true,
        durationMs: 20,
        isCongested: false,
      };
      limiter.onAnswer(KIND, uncongested);
    }
    expect(limiter.limitOf(KIND)).to.equal(Infinity);
  });

  it('lets a few in where nothing succeeds', () => {
    const clock = new VirtualClock();
    const limiter = new KindLimiter(clock);
    for (let request = 0; request < 200; request += 1) {
      clock.advance(10);
      if (limiter.enter(KIND).type !== 'entered') continue;
      const failed = {
        maxDurationMs: MAX_TARGET_MS,
        succeeded: false,
        durationMs: 10,
        isCongested: true,
      };
      limiter.onAnswer(KIND, failed);
      limiter.leave(KIND);
    }
    expect(limiter.limitOf(KIND)).to.equal(2);
    expect(limiter.enter(KIND).type).to.equal('entered');
  });
});

describe('the usual time of a kind', () => {
  it('is not learned while calls below are held up', () => {
    const impact = new KindImpact(new VirtualClock());
    for (let answer = 0; answer < 50; answer += 1) impact.onAnswer(KIND, 1_000, 200, false);
    expect(impact.impactOn(KIND)).to.equal(1);
    for (let answer = 0; answer < 100; answer += 1) impact.onAnswer(KIND, 200, 200, true);
    expect(impact.impactOn(KIND)).to.equal(0);
    for (let answer = 0; answer < 50; answer += 1) impact.onAnswer(KIND, 1_000, 200, false);
    expect(impact.impactOn(KIND)).to.equal(1);
  });
});
