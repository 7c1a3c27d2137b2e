import { expect } from 'chai';
import fc from 'fast-check';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { CallContext } from '../../src/call/call-context.js';
import { CallDurations } from '../../src/call/call-durations.js';
import { StopPhase, StopProgress, stopTimes } from '../../src/call/stop-phase.js';
import { limitDeadlineToStop, gateAccepts, ingressAccepts } from '../../src/call/stop-policy.js';

const GRACE_MS = 10_000;
const KIND = 'k';

/** A stop that started `sinceMs` ago, and recent calls of which every twelfth took 3 s and the others 1 s. */
function stoppingProcess(phase: StopPhase, sinceMs: number) {
  const clock = new VirtualClock();
  const progress = new StopProgress(clock);
  progress.begin(stopTimes({ drainMs: 0, timeoutMs: 0, graceMs: GRACE_MS }));
  progress.phase = phase;
  clock.runUntil(sinceMs);
  const durations = new CallDurations();
  for (let call = 1; call <= 60; call += 1) durations.record(KIND, call % 12 === 0 ? 3_000 : 1_000);
  return { clock, progress, durations };
}

describe('what a stopping process takes', () => {
  const cases: {
    phase: StopPhase;
    sinceMs: number;
    /** Whether the ingress accepts a repeatable request, one that may run only once, and a call of its target. */
    repeatable: boolean;
    once: boolean;
    nested: boolean;
    gate: boolean;
  }[] = [
    {
      phase: StopPhase.Running,
      sinceMs: 0,
      repeatable: true,
      once: true,
      nested: true,
      gate: true,
    },
    {
      phase: StopPhase.Draining,
      sinceMs: 1_000,
      repeatable: true,
      once: true,
      nested: true,
      gate: true,
    },
    {
      phase: StopPhase.Draining,
      sinceMs: 7_000,
      repeatable: true,
      once: false,
      nested: true,
      gate: false,
    },
    {
      phase: StopPhase.Draining,
      sinceMs: 8_500,
      repeatable: false,
      once: false,
      nested: false,
      gate: false,
    },
    {
      phase: StopPhase.Finishing,
      sinceMs: 5_000,
      repeatable: false,
      once: false,
      nested: true,
      gate: false,
    },
    {
      phase: StopPhase.Finishing,
      sinceMs: 8_500,
      repeatable: false,
      once: false,
      nested: false,
      gate: false,
    },
    {
      phase: StopPhase.Ending,
      sinceMs: 5_000,
      repeatable: false,
      once: false,
      nested: false,
      gate: false,
    },
  ];
  for (const { phase, sinceMs, ...expected } of cases) {
    it(`is what it can finish: ${StopPhase[phase]}, ${sinceMs} ms after its signal`, () => {
      const { progress, durations } = stoppingProcess(phase, sinceMs);
      const accepts = (repeatable: boolean, isNested: boolean): boolean =>
        ingressAccepts(progress, durations, { kind: KIND, repeatable, isNested });
      expect({
        repeatable: accepts(true, false),
        once: accepts(false, false),
        nested: accepts(true, true),
        gate: gateAccepts(progress, durations, KIND),
      }).to.deep.equal(expected);
    });
  }

  it('includes kinds of which nothing is known, as long as there is time', () => {
    const { progress, durations } = stoppingProcess(StopPhase.Finishing, 8_900);
    const request = { kind: 'other', repeatable: false, isNested: true };
    expect(ingressAccepts(progress, durations, request)).to.equal(true);
  });

  it('gets the time that is left, and its target a little less', () => {
    const { clock, progress } = stoppingProcess(StopPhase.Draining, 5_000);
    const context = { deadlineAt: clock.now() + 60_000 } as CallContext;
    const bounded = limitDeadlineToStop(context, progress);
    expect(bounded.deadlineAt).to.equal(9_000);
    expect(bounded.answerMarginMs).to.be.above(0);
    const soon = { deadlineAt: clock.now() + 1_000 } as CallContext;
    expect(limitDeadlineToStop(soon, progress)).to.equal(soon);
    clock.runUntil(8_950);
    expect(limitDeadlineToStop(context, progress).answerMarginMs).to.equal(25);
  });

  it('never gets more time than the stop leaves, whatever the stop and the request are', () => {
    const times = fc.record({
      graceMs: fc.integer({ min: 100, max: 60_000 }),
      sincePart: fc.double({ min: 0, max: 0.89, noNaN: true }),
      wantedMs: fc.integer({ min: 0, max: 120_000 }),
    });
    fc.assert(
      fc.property(times, ({ graceMs, sincePart, wantedMs }) => {
        const clock = new VirtualClock();
        const progress = new StopProgress(clock);
        const stop = stopTimes({ drainMs: 0, timeoutMs: 0, graceMs });
        progress.begin(stop);
        clock.runUntil(sincePart * graceMs);
        const deadlineAt = clock.now() + wantedMs;
        const bounded = limitDeadlineToStop({ deadlineAt } as CallContext, progress);
        const targetUntil = bounded.deadlineAt - (bounded.answerMarginMs ?? 0);
        expect(bounded.deadlineAt).to.be.at.most(Math.min(deadlineAt, stop.answerMs));
        expect(targetUntil).to.be.at.least(clock.now());
        expect(targetUntil < bounded.deadlineAt).to.equal(deadlineAt > stop.answerMs);
        expect(stop.answerMs).to.be.below(stop.endMs);
        expect(stop.endMs).to.be.below(graceMs);
      }),
    );
  });

  it('is judged by the latest calls of its kind', () => {
    const durations = new CallDurations();
    for (let call = 0; call < 100; call += 1) durations.record(KIND, 9_000);
    for (let call = 0; call < 64; call += 1) durations.record(KIND, 10);
    expect(durations.quantileMs(KIND, 1)).to.equal(10);
    expect(durations.quantileMs('other', 1)).to.equal(0);
  });
});
