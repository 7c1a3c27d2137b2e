import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { LeavingTarget } from '../../src/membership/leaving-target.js';

describe('the target of a node that announces its shutdown', () => {
  let clock: VirtualClock;
  let hasEnded: boolean;
  let ends: number;
  let target: LeavingTarget;

  beforeEach(() => {
    clock = new VirtualClock();
    hasEnded = false;
    ends = 0;
    target = new LeavingTarget(
      clock,
      () => Promise.resolve(hasEnded),
      () => (ends += 1),
    );
  });

  /** Lets time pass, with the check that is due in each step. */
  async function pass(durationMs: number): Promise<void> {
    const stepMs = 250;
    for (let passed = 0; passed < durationMs; passed += stepMs) {
      clock.advance(stepMs);
      await Promise.resolve();
      await Promise.resolve();
    }
  }

  it('is leaving until its port refuses connections', async () => {
    expect(target.isLeaving).to.equal(false);
    target.begin();
    target.begin();
    await pass(10_000);
    expect(target.isLeaving).to.equal(true);
    hasEnded = true;
    await pass(500);
    expect(target.isLeaving).to.equal(false);
    expect(ends).to.equal(1);
  });

  it('is not leaving for ever when its successor listens before the end is noticed', async () => {
    target.begin();
    await pass(61_000);
    expect(target.isLeaving).to.equal(false);
    expect(ends).to.equal(1);
  });
});
