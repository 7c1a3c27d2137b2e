/** Guards against a suspension that is not counted and leaves no line from which to tell why. */
import { expect } from 'chai';
import type { ClockChange } from '../../src/common/suspension-detector.js';
import { ClockLogger } from '../../src/programs/clock-logger.js';
import { CapturedLines } from '../support/captured-lines.js';

const SET: ClockChange = {
  type: 'wall-clock-set',
  elapsedMs: 1_000.4,
  wallGainMs: -61,
  uptimeGainMs: 0.2,
};

describe('the log lines about the clocks of a machine', () => {
  let captured: CapturedLines;
  let clockLogger: ClockLogger;

  beforeEach(() => {
    captured = new CapturedLines('sidecar', 'pinned-part');
    clockLogger = new ClockLogger(captured.logger.part('clock'));
  });

  afterEach(() => captured.end());

  it('are one for each kind of change, with the gains that decided it', () => {
    clockLogger.onChange(SET);
    clockLogger.onChange({ ...SET, type: 'suspension', wallGainMs: 5_000, uptimeGainMs: 5_010 });
    clockLogger.onChange({ ...SET, type: 'disagreement', wallGainMs: 200, uptimeGainMs: 5_000 });
    const common = { elapsedMs: 1_000, suppressed: 0 };
    expect(captured.records.map(({ level, msg }) => [level, msg])).to.deep.equal([
      [30, 'clock: The wall clock was set.'],
      [30, 'clock: The machine was suspended.'],
      [40, 'clock: Clocks disagree; no suspension was counted.'],
    ]);
    expect(captured.records[0]).to.include({ ...common, wallGainMs: -61, uptimeGainMs: 0 });
    expect(captured.records[1]).to.include({ ...common, wallGainMs: 5_000, uptimeGainMs: 5_010 });
    expect(captured.records[2]).to.include({ ...common, wallGainMs: 200, uptimeGainMs: 5_000 });
  });

  it('are at most ten a minute, and tell how many were left out', () => {
    for (let change = 0; change < 60; change++) clockLogger.onChange(SET);
    expect(captured.records).to.have.lengthOf(10);
    clockLogger.onChange(SET);
    expect(captured.records).to.have.lengthOf(11);
    expect(captured.records[10]).to.include({ suppressed: 50 });
  });
});
