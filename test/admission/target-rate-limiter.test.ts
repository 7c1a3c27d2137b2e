import { expect } from 'chai';
import fc from 'fast-check';
import { TargetRateLimiter } from '../../src/admission/target-rate-limiter.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { mostInWindow } from '../support/most-in-window.js';

const WINDOW_MS = 4_000;
const URGENT = 1;
const USUAL = 3;

/** Calls that a limit allows in any window: a tenth above the limit, and a fixed number. */
function allowedCalls(perSecond: number): number {
  return (1.1 * perSecond * WINDOW_MS) / 1_000 + 5;
}

describe('the rate limiter of a target', () => {
  let clock: VirtualClock;
  let limiter: TargetRateLimiter;

  beforeEach(() => {
    clock = new VirtualClock();
    limiter = new TargetRateLimiter(clock);
  });

  /** Offers a call at each interval. @returns the times of those that are admitted */
  function offerFor(durationMs: number, gapMs: number, priority = USUAL): number[] {
    const admitted: number[] = [];
    for (const until = clock.now() + durationMs; clock.now() < until; clock.advance(gapMs)) {
      if (limiter.tryAcquire(priority)) admitted.push(clock.now());
    }
    return admitted;
  }

  it('admits everything without a limit', () => {
    expect(offerFor(1_000, 1)).to.have.length(1_000);
  });

  for (const perSecond of [0.3, 1, 5.4, 50, 500]) {
    it(`admits a limit of ${perSecond} a second evenly, and nearly all of it`, () => {
      limiter.setLimit(perSecond);
      const admitted = offerFor(40_000, 1);
      expect(mostInWindow(admitted, WINDOW_MS)).to.be.at.most(allowedCalls(perSecond));
      expect(admitted.length).to.be.at.least(Math.floor(0.9 * 40 * perSecond));
      expect(mostInWindow(admitted, 500)).to.be.at.most(5 + perSecond);
    });
  }

  it('admits a call now and then at a limit of 0, so that its end is noticed', () => {
    limiter.setLimit(0);
    const admitted = offerFor(20_000, 10);
    expect(admitted.length).to.be.within(4, 6);
    expect(mostInWindow(admitted, WINDOW_MS)).to.be.at.most(allowedCalls(0));
  });

  it('is bounded by a limit that is as high as none', () => {
    limiter.setLimit(1e9);
    clock.advance(1);
    expect(offerFor(1_000, 1)).to.have.length(1_000);
  });

  it('admits no burst after an idle time', () => {
    limiter.setLimit(10);
    clock.advance(60_000);
    const admitted = Array.from({ length: 100 }, () => limiter.tryAcquire(USUAL)).filter(Boolean);
    expect(admitted.length).to.be.at.most(4);
  });

  it('keeps the bound when the limit changes often', () => {
    const admitted: number[] = [];
    for (let step = 0; step < 80; step += 1) {
      limiter.setLimit(step % 2 === 0 ? 5 : 10);
      admitted.push(...offerFor(250, 5));
    }
    expect(mostInWindow(admitted, WINDOW_MS)).to.be.at.most(allowedCalls(7.5));
  });

  it('keeps the bound for any demand and any limit, whenever the process restarts', () => {
    const demand = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 50, maxLength: 300 });
    const restarts = fc.array(fc.integer({ min: 0, max: 299 }), { maxLength: 2 });
    fc.assert(
      fc.property(
        fc.double({ min: 0.3, max: 50, noNaN: true }),
        demand,
        restarts,
        (rate, gaps, restartsAt) => {
          clock = new VirtualClock();
          limiter = new TargetRateLimiter(clock);
          limiter.setLimit(rate);
          const admitted: number[] = [];
          for (const [index, gapMs] of gaps.entries()) {
            if (restartsAt.includes(index)) {
              limiter = new TargetRateLimiter(clock);
              limiter.hold();
              limiter.release(false);
            }
            if (limiter.tryAcquire(USUAL)) {
              admitted.push(clock.now());
              limiter.setLimit(rate);
            }
            clock.advance(gapMs);
          }
          expect(mostInWindow(admitted, WINDOW_MS)).to.be.at.most(allowedCalls(rate));
        },
      ),
      { seed: 49, numRuns: 300 },
    );
  });

  it('admits nothing before the target has been probed, and then a few calls to learn its limit', () => {
    limiter.hold();
    expect(offerFor(500, 10)).to.have.length(0);
    limiter.release(false);
    const admitted = offerFor(1_000, 10);
    expect(admitted.length).to.be.within(1, 2);
    limiter.setLimit(undefined);
    expect(offerFor(1_000, 10)).to.have.length(100);
  });

  it('admits more of them if a health check has named no limit', () => {
    limiter.hold();
    limiter.release(true);
    expect(offerFor(1_000, 10).length).to.be.within(20, 25);
  });

  it('leaves what it admits to urgent calls', () => {
    limiter.setLimit(10);
    let urgent = 0;
    let usual = 0;
    for (let step = 0; step < 2_000; step += 1) {
      if (limiter.tryAcquire(USUAL)) usual += 1;
      else limiter.onRefused(USUAL);
      if (step % 12 === 0) {
        if (limiter.tryAcquire(URGENT)) urgent += 1;
        else limiter.onRefused(URGENT);
      }
      clock.advance(10);
    }
    // 8.3 urgent calls a second are wanted.
    expect(urgent).to.be.at.least(0.85 * (2_000 / 12));
    expect(urgent + usual).to.be.at.least(0.9 * 10 * 20);
  });

  it('tells callers to return one after the other', () => {
    limiter.setLimit(5);
    const returns = Array.from({ length: 10 }, (_, caller) =>
      limiter.msUntilReturn(USUAL, `caller-${caller}`),
    );
    for (let index = 1; index < returns.length; index += 1) {
      expect(returns[index]! - returns[index - 1]!).to.be.closeTo(1_000 / (1.25 * 5), 1);
    }
    expect(limiter.msUntilReturn(USUAL, 'caller-3')).to.equal(returns[3]);
  });

  it('tells no caller to stay away for long', () => {
    limiter.setLimit(0.3);
    for (let caller = 0; caller < 100; caller += 1) {
      expect(limiter.msUntilReturn(USUAL, `caller-${caller}`)).to.be.within(1, 5_000);
    }
  });
});
