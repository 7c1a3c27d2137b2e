import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { KindPaceTracker } from '../../src/gate/kind-pace-tracker.js';

const KIND = 'accept';
const USUAL_MS = 100;
const LONG_MS = 700;
const WEEK_MS = 604_800_000;

describe('the pace of a kind at a target', () => {
  let clock: VirtualClock;
  let tracker: KindPaceTracker;

  beforeEach(() => {
    clock = new VirtualClock();
    tracker = new KindPaceTracker(clock);
  });

  function answer(runs: number, durationMs = USUAL_MS): void {
    for (let run = 0; run < runs; run += 1) tracker.onAnswered(KIND, durationMs);
  }

  it('is unknown before enough runs, for other kinds, after a replacement and long after the last run', () => {
    answer(2);
    expect(tracker.paceOf(KIND)).to.equal(undefined);
    answer(20);
    expect(tracker.paceOf(KIND)).to.deep.equal({ usualMs: USUAL_MS, longMs: USUAL_MS });
    expect(tracker.paceOf('other')).to.equal(undefined);
    clock.advance(WEEK_MS);
    expect(tracker.paceOf(KIND)).to.equal(undefined);
    answer(20);
    tracker.reset();
    expect(tracker.paceOf(KIND)).to.equal(undefined);
  });

  it('keeps the usual duration apart from long runs, and forgets long runs after many others', () => {
    answer(30);
    answer(1, LONG_MS);
    const { usualMs, longMs } = tracker.paceOf(KIND)!;
    expect(usualMs).to.be.within(USUAL_MS, 1.1 * USUAL_MS);
    expect(longMs).to.equal(LONG_MS);
    answer(60);
    expect(tracker.paceOf(KIND)!.longMs).to.equal(LONG_MS);
    answer(140);
    expect(tracker.paceOf(KIND)!.longMs).to.be.below(1.1 * USUAL_MS);
  });

  it('counts a run without an answer as long, unless it was cancelled early', () => {
    answer(20);
    tracker.onGivenUp(KIND, USUAL_MS / 2);
    expect(tracker.paceOf(KIND)!.longMs).to.equal(USUAL_MS);
    tracker.onGivenUp(KIND, LONG_MS);
    expect(tracker.paceOf(KIND)).to.deep.equal({ usualMs: USUAL_MS, longMs: LONG_MS });
  });
});
