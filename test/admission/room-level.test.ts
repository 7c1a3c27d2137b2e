import { expect } from 'chai';
import { RoomLevel, type OfferedMix } from '../../src/admission/room-level.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { Importance } from '../../src/policy/importance.js';

/** Half of the requests are of importance 1, a third of 2 and the rest of 3. */
const MIX: OfferedMix = { offered: [0, 50, 33, 17], isPresent: [false, true, true, true] };

describe('the level of ranks before a bottleneck', () => {
  let clock: VirtualClock;
  let level: RoomLevel;

  beforeEach(() => {
    clock = new VirtualClock();
    level = new RoomLevel(clock);
  });

  function parts(): number[] {
    return ([1, 2, 3] as const).map((each: Importance) => level.admittedPartOf(each, MIX));
  }

  /** The bottleneck tells `pressure` every 20 ms. */
  function tell(pressure: number, durationMs: number): number[] {
    for (let ms = 0; ms < durationMs; ms += 20) {
      clock.advance(20);
      level.onPressure(pressure);
      parts();
    }
    return parts();
  }

  it('admits everything before anything is told', () => {
    expect(parts()).to.deep.equal([1, 1, 1]);
  });

  it('refuses of the lowest rank alone what does not fit', () => {
    const [lowest, middle, highest] = tell(1 / 0.75, 2_000);
    expect(lowest).to.be.closeTo(0.5, 0.02);
    expect([middle, highest]).to.deep.equal([1, 1]);
  });

  it('touches a higher rank only once the lower one was shut out and that has taken effect', () => {
    expect(tell(4, 1_500)[1]).to.equal(1);
    const [lowest, middle, highest] = tell(4, 3_000);
    expect(lowest).to.be.below(0.05);
    expect(middle).to.be.closeTo(0.24, 0.03);
    expect(highest).to.equal(1);
  });

  it('keeps admitting probes', () => {
    for (const part of tell(100, 10_000)) expect(part).to.be.above(0.01);
  });

  it('opens gradually when nothing is told any more', () => {
    const before = tell(2, 3_000)[0]!;
    clock.advance(1_400);
    expect(parts()[0]).to.equal(before);
    clock.advance(600);
    expect(parts()[0]).to.be.within(before, 0.6);
    clock.advance(10_000);
    expect(parts()[0]).to.be.above(0.99);
  });
});
