import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { UnservedRuns } from '../../src/gate/unserved-runs.js';

const RUN_MS = 10;

function recordRuns(runs: UnservedRuns, clock: VirtualClock, served: readonly boolean[]): void {
  for (const isServed of served) {
    clock.advance(RUN_MS);
    runs.onRun(isServed);
  }
}

describe('the share of unserved runs at a target', () => {
  it('shows within a few runs that two in five answers are lost', () => {
    const clock = new VirtualClock();
    const runs = new UnservedRuns(clock);
    recordRuns(runs, clock, [true, false, true, true, false, false, true, true, false, true]);
    expect(runs.reportedShare()).to.be.above(0.15);
  });

  it('is not reported for a single failure, for a new target, or after a while', () => {
    const clock = new VirtualClock();
    const runs = new UnservedRuns(clock);
    recordRuns(runs, clock, [false, true]);
    expect(runs.reportedShare()).to.equal(undefined);
    recordRuns(runs, clock, Array<boolean>(20).fill(false));
    expect(runs.reportedShare()).to.be.above(0.5);
    clock.advance(40_000);
    expect(runs.reportedShare()).to.equal(undefined);
    recordRuns(runs, clock, Array<boolean>(20).fill(false));
    runs.reset();
    expect(runs.reportedShare()).to.equal(undefined);
  });
});
