import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { TargetLoadTracker, type SlowPhaseChange } from '../../src/gate/target-load-tracker.js';
import { mayRunNow } from '../../src/gate/long-run-check.js';
import { SlowPhaseLog } from '../../src/programs/slow-phase-log.js';
import { CapturedLines } from '../support/captured-lines.js';

/** A slow target by nature. */
const USUAL = 1.6;
const BURST = 2.5 * USUAL;
const REPORT_MS = 20;
const BURST_MS = 600;
const CALM_MS = 3_400;

describe('the load that a target reports', () => {
  let clock: VirtualClock;
  let changes: SlowPhaseChange[];
  let tracker: TargetLoadTracker;

  beforeEach(() => {
    clock = new VirtualClock();
    changes = [];
    tracker = new TargetLoadTracker(clock, (change) => changes.push(change));
  });

  function report(durationMs: number, slowdown: number | undefined): void {
    for (let at = 0; at < durationMs; at += REPORT_MS) {
      clock.advance(REPORT_MS);
      tracker.onReport({ running: 3, waiting: 1, slots: 40, slowdown });
    }
  }

  it('shows short slow phases, relative to the own speed of the target', () => {
    for (let phase = 0; phase < 5; phase += 1) {
      report(CALM_MS, USUAL);
      expect(tracker.slowedRatio).to.equal(undefined);
      report(BURST_MS, BURST);
      expect(tracker.slowedRatio).to.be.within(2, 2.5);
    }
    report(REPORT_MS, USUAL);
    const types = changes.map(({ type }) => type);
    expect(types).to.deep.equal(Array(5).fill(['slowed', 'recovered']).flat());
    expect(changes.at(-1)).to.deep.equal({ type: 'recovered', lastedMs: BURST_MS });
  });

  it('is unknown when it is old, after a replacement, and from targets that report no slowdown', () => {
    report(CALM_MS, USUAL);
    report(REPORT_MS, BURST);
    clock.advance(501);
    expect(tracker.current).to.equal(undefined);
    expect(tracker.slowedRatio).to.equal(undefined);
    report(REPORT_MS, BURST);
    tracker.reset();
    expect(tracker.current).to.equal(undefined);
    report(REPORT_MS, undefined);
    expect(tracker.current!.running).to.equal(3);
    expect(tracker.slowedRatio).to.equal(undefined);
  });

  it('is logged for a slow phase at most once a minute', () => {
    const captured = new CapturedLines('sidecar', 'slow-phases');
    const log = new SlowPhaseLog(clock, captured.logger, () => 'i-1');
    tracker = new TargetLoadTracker(clock, (change) => log.onChange(change));
    for (let phase = 0; phase < 20; phase += 1) {
      report(CALM_MS, USUAL);
      report(BURST_MS, BURST);
    }
    captured.end();
    const lines = captured.records.map(({ msg, omitted }) => [msg, omitted]);
    const [slowed, usual] = [
      'sidecar: The target is slowed down.',
      'sidecar: The target works at its usual speed again.',
    ];
    expect(lines).to.deep.equal([
      [slowed, 0],
      [usual, undefined],
      [slowed, 14],
      [usual, undefined],
    ]);
  });
});

describe('a call whose target is slowed down', () => {
  const state = {
    isReroutable: true,
    remainingMs: 1_200,
    pace: { usualMs: 290, longMs: 1_040 },
    slowedRatio: 2.5,
  };

  it('is turned away if a long run does not fit and the caller has another target', () => {
    expect(mayRunNow(state)).to.equal(false);
  });

  for (const [name, change] of Object.entries({
    'its caller has no other target': { isReroutable: false },
    'a long run fits': { remainingMs: 2_700 },
    'the pace is unknown': { pace: undefined },
    'the target is not slowed down': { slowedRatio: undefined },
  })) {
    it(`is run if ${name}`, () => {
      expect(mayRunNow({ ...state, ...change })).to.equal(true);
    });
  }
});
