import { expect } from 'chai';
import { TargetPressure } from '../../src/admission/target-pressure.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

const LIMIT = 100;

/** Lets `inFlight` calls stay in a target of 100 slots for a while. @returns the pressure at the end */
function pressureAfter(
  pressure: TargetPressure,
  clock: VirtualClock,
  load: { inFlight: number; waiting: number },
  set: (load: { inFlight: number; waiting: number }) => void,
  durationMs: number,
): number {
  set(load);
  for (let ms = 0; ms < durationMs; ms += 10) {
    pressure.update();
    clock.advance(10);
  }
  return pressure.current();
}

describe('the pressure of a target', () => {
  let clock: VirtualClock;
  let pressure: TargetPressure;
  let load = { inFlight: 0, waiting: 0 };
  const after = (inFlight: number, waiting: number, durationMs: number): number =>
    pressureAfter(pressure, clock, { inFlight, waiting }, (each) => (load = each), durationMs);

  beforeEach(() => {
    clock = new VirtualClock();
    load = { inFlight: 0, waiting: 0 };
    pressure = new TargetPressure(clock, () => ({ limit: LIMIT, ...load }));
  });

  it('is 1 while there is room', () => {
    expect(after(70, 0, 10_000)).to.equal(1);
  });

  it('rises within half a second once calls wait, and further while they do', () => {
    const soon = after(100, 80, 500);
    expect(soon).to.be.above(1.2);
    expect(after(100, 80, 1_000)).to.be.above(soon);
  });

  it('stays bounded while nobody answers it', () => {
    const lasting = after(100, 1_000, 60_000);
    expect(lasting).to.be.below(5);
    expect(after(100, 1_000, 60_000)).to.be.closeTo(lasting, 0.01);
  });

  it('is 1 again two seconds after the load has gone', () => {
    after(100, 1_000, 10_000);
    expect(after(30, 0, 2_000)).to.equal(1);
  });

  it('is 1 for a target whose limit is not known', () => {
    const unknown = new TargetPressure(clock, () => ({ limit: 0, inFlight: 5, waiting: 5 }));
    clock.advance(5_000);
    expect(unknown.current()).to.equal(1);
  });
});
