import { expect } from 'chai';
import { CongestionLevel } from '../../src/admission/congestion-level.js';
import { KindImpact } from '../../src/admission/kind-impact.js';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { SeededRandom } from '../../src/common/random.js';
import { oneSlotAdmission } from '../support/slot-gate.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { Importance } from '../../src/policy/importance.js';

describe('the level of the calls at one place', () => {
  it('is the part of them that is held up', () => {
    const level = new CongestionLevel(new VirtualClock());
    for (let call = 0; call < 1_000; call += 1) level.onCall(call % 10 === 0 ? 1 : 0);
    expect(level.current()).to.be.closeTo(0.1, 0.06);
  });

  it('does not depend on how many calls there are', () => {
    for (const gapMs of [1, 20, 150]) {
      const clock = new VirtualClock();
      const level = new CongestionLevel(clock);
      for (let at = 0; at < 5_000; at += gapMs) {
        level.onCall(1);
        clock.advance(gapMs);
      }
      expect(level.current()).to.be.above(0.9);
    }
  });

  it('is forgotten when no more calls are made', () => {
    const clock = new VirtualClock();
    const level = new CongestionLevel(clock);
    for (let call = 0; call < 100; call += 1) level.onCall(1);
    expect(level.current()).to.be.above(0.9);
    clock.advance(20_000);
    expect(level.current()).to.be.below(0.001);
  });
});

describe('the impact of congestion on kinds of call', () => {
  /** Records answers with durations spread by 50% around their mean. */
  function recordAnswers(impact: KindImpact, kind: string, meanMs: number, status = 200): void {
    const random = new SeededRandom(5);
    for (let count = 0; count < 200; count += 1) {
      impact.onAnswer(kind, meanMs * (0.5 + random.next()), status);
    }
  }

  function warmedUpImpact(): KindImpact {
    const impact = new KindImpact(new VirtualClock());
    for (const kind of ['calling', 'plain']) recordAnswers(impact, kind, 100);
    return impact;
  }

  it('is full for a kind that takes longer, or fails, and none for one that does not', () => {
    const slowed = warmedUpImpact();
    const failing = warmedUpImpact();
    recordAnswers(slowed, 'calling', 250);
    recordAnswers(failing, 'calling', 20, 500);
    for (const impact of [slowed, failing]) {
      recordAnswers(impact, 'plain', 102);
      expect(impact.impactOn('calling')).to.equal(1);
      expect(impact.impactOn('plain')).to.equal(0);
    }
  });

  it('is told also where all was congested from the start', () => {
    const impact = new KindImpact(new VirtualClock());
    recordAnswers(impact, 'plain', 100);
    for (let meanMs = 100; meanMs <= 400; meanMs += 50) {
      for (let count = 0; count < 10; count += 1) impact.onAnswer('calling', meanMs, 200);
    }
    expect(impact.impactOn('plain')).to.equal(0);
    expect(impact.impactOn('calling')).to.equal(1);
  });

  it('is taken for full after a few answers', () => {
    const impact = new KindImpact(new VirtualClock());
    expect(impact.impactOn('new')).to.equal(1);
    impact.onAnswer('new', 100, 200);
    expect(impact.impactOn('new')).to.equal(1);
  });
});

describe('the throttle', () => {
  it('counts refusals that come together once', () => {
    const many = new OverloadThrottle(new SeededRandom(1), {
      decreaseFactor: 0.8,
      cooldownMs: 200,
    });
    const one = new OverloadThrottle(new SeededRandom(1), { decreaseFactor: 0.8, cooldownMs: 200 });
    for (let refusal = 0; refusal < 50; refusal += 1) many.onRefused('lane', 1_000 + refusal);
    one.onRefused('lane', 1_000);
    expect(many.demandRatio('lane', 1_100)).to.equal(one.demandRatio('lane', 1_100));
  });
});

describe('the queue of a gate', () => {
  function gate() {
    const clock = new VirtualClock();
    const controller = oneSlotAdmission(clock);
    const events: string[] = [];
    const release: (() => void)[] = [];
    const offer = (kind: string, importance: Importance, waitUntil: number): void => {
      controller.offer(
        { shareClass: 'g', priority: 0, kind, importance, deadlineAt: 10_000, waitUntil },
        {
          onAdmitted: (permit) => {
            events.push(kind);
            release.push(() => permit.release('answered', 0));
          },
          onRefused: (reason) => events.push(`${kind} ${reason}`),
        },
      );
    };
    return { clock, controller, events, offer, next: () => release.shift()!() };
  }

  it('lets in first what must be let in first, among calls of one importance', () => {
    const { events, offer, next } = gate();
    offer('running', 1, 5_000);
    offer('patient', 1, 4_000);
    offer('urgent', 1, 1_000);
    offer('important', 2, 6_000);
    for (let count = 0; count < 3; count += 1) next();
    expect(events).to.deep.equal(['running', 'important', 'urgent', 'patient']);
  });

  it('refuses at the end of the wait that the call brought', () => {
    const { clock, events, offer } = gate();
    offer('running', 1, 5_000);
    offer('short', 1, 50);
    clock.advance(60);
    expect(events).to.deep.equal(['running', 'short overload']);
  });

  it('refuses every waiting call when the target leaves', () => {
    const { controller, events, offer } = gate();
    offer('running', 1, 5_000);
    offer('waiting', 1, 5_000);
    controller.refuseWaiting();
    expect(events).to.deep.equal(['running', 'waiting leaving']);
  });
});
