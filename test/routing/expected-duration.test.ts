import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { selectByDuration, type PacedCandidate } from '../../src/routing/expected-duration.js';
import { chooseTarget } from '../../src/routing/target-choice.js';

const CONTEXT = { now: 0, slowStartMs: 0, meanLimit: 10 };
const LONG_RUN_RATIO = 7;

interface Target {
  readonly name: string;
  /** Undefined: unknown. */
  readonly usualMs?: number | undefined;
  occupancy?: number;
  readonly latencyRatio?: number;
  readonly longRatio?: number;
  readonly overloaded?: boolean;
  readonly ejected?: boolean;
  readonly zone?: string;
}

interface NamedCandidate extends PacedCandidate {
  readonly name: string;
}

function candidate(target: Target): NamedCandidate {
  const { name, usualMs, latencyRatio = 1, longRatio = LONG_RUN_RATIO, zone = 'a' } = target;
  const { overloaded = false, ejected = false } = target;
  const occupancy = (): number => target.occupancy ?? 0.1;
  return {
    name,
    zone,
    isEjected: () => ejected,
    occupancy,
    latencyRatio: () => latencyRatio,
    cost: () => occupancy() * latencyRatio,
    isOverloaded: () => overloaded,
    pace: () => (usualMs === undefined ? undefined : { usualMs, longMs: usualMs * longRatio }),
  };
}

/** Returns the names of the candidates that remain in each of some selections. */
function selections(targets: readonly Target[], remainingMs: number): string[][] {
  const random = new SeededRandom(1);
  const call = { trafficClass: 'accept', remainingMs };
  return Array.from({ length: 200 }, () =>
    selectByDuration(targets.map(candidate), call, { context: CONTEXT, random }).map(
      ({ name }) => name,
    ),
  );
}

/** Returns the names of the candidates that remain in any of them. */
function selected(targets: readonly Target[], remainingMs: number): string[] {
  return [...new Set(selections(targets, remainingMs).flat())].sort();
}

const FAST = { name: 'fast', usualMs: 100 };
const SLOW = { name: 'slow', usualMs: 250 };
const ALL = ['fast', 'slow'];

describe('the targets that are left for a call that must fit its time', () => {
  it('are those where a long run fits', () => {
    expect(selected([FAST, SLOW], 1_000)).to.deep.equal(['fast']);
  });

  it('are the soonest ones where it fits nowhere', () => {
    expect(selected([FAST, SLOW, { name: 'other', usualMs: 120 }], 500)).to.deep.equal([
      'fast',
      'other',
    ]);
  });

  it('do not include a fast one that takes long at present', () => {
    const other = { name: 'other', usualMs: 110 };
    const troubled = { ...FAST, latencyRatio: 4 };
    expect(selected([troubled, other, SLOW], 1_000)).to.deep.equal(['other']);
  });

  it('are all where the fast ones are full, or where few are long', () => {
    expect(selected([{ ...FAST, occupancy: 0.8 }, SLOW], 1_000)).to.deep.equal(['slow']);
    expect(
      selected(
        [
          { ...FAST, occupancy: 0.8 },
          { ...SLOW, occupancy: 0.8 },
        ],
        1_000,
      ),
    ).to.deep.equal(ALL);
    expect(selected([{ ...FAST, overloaded: true }, SLOW], 1_000)).to.deep.equal(['slow']);
    expect(selected([{ ...FAST, ejected: true }, SLOW], 1_000)).to.deep.equal(['slow']);
    const alike = [FAST, SLOW].map((each) => ({ ...each, longRatio: 1.5 }));
    expect(selected(alike, 300)).to.deep.equal(ALL);
  });

  it('include those of unknown pace now and then, and always if no other fits', () => {
    const unknown = { name: 'unknown' };
    const explored = selections([FAST, SLOW, unknown], 1_000).filter((each) =>
      each.includes(unknown.name),
    );
    expect(explored.length).to.be.within(20, 60);
    expect(explored[0]).to.deep.equal(['fast', 'unknown']);
    expect(selected([{ ...FAST, occupancy: 0.9 }, SLOW, unknown], 1_000)).to.include('unknown');
  });

  // A caller whose zone has only slow targets would never learn of the fast ones in other zones.
  it('are only those of unknown pace now and then where no known one fits', () => {
    const unknown = { name: 'unknown', zone: 'b' };
    const alone = selections([SLOW, unknown], 1_000).filter((each) => each.join() === unknown.name);
    expect(alone.length).to.be.within(20, 60);
  });

  it('are unchanged, without a random draw, where the call fits everywhere or nothing is known', () => {
    const random = { next: () => expect.fail('drawn'), nextInt: () => expect.fail('drawn') };
    const options = { context: CONTEXT, random };
    for (const targets of [[FAST, SLOW], [{ name: 'x', occupancy: 0.5 }]]) {
      const candidates = targets.map(candidate);
      const call = { trafficClass: 'accept', remainingMs: 1_800 };
      expect(selectByDuration(candidates, call, options)).to.equal(candidates);
    }
  });

  // A herd: callers with the same knowledge, which is older than their choices, would all fill the fastest target.
  it('share the calls of many callers, and slow ones take what the fast ones have no room for', () => {
    const SLOTS = 40;
    const targets: Target[] = Array.from({ length: 8 }, (_, index) => ({
      name: `t${index}`,
      usualMs: index < 4 ? 100 + 10 * index : 250,
      occupancy: 0,
      zone: index % 2 === 0 ? 'a' : 'b',
    }));
    const counts = new Map(targets.map(({ name }) => [name, 0]));
    const random = new SeededRandom(5);
    const candidates = targets.map(candidate);
    const send = (calls: number): void => {
      for (let call = 0; call < calls; call += 1) {
        const left = selectByDuration(
          candidates,
          { trafficClass: 'accept', remainingMs: 1_000 },
          { context: CONTEXT, random },
        );
        const options = { callerZone: call % 2 === 0 ? 'a' : 'b', context: CONTEXT, random };
        const { name } = chooseTarget(left, options)!;
        counts.set(name, counts.get(name)! + 1);
        // Callers learn of the others' calls in groups of eight.
        if (call % 8 !== 0) continue;
        for (const target of targets) target.occupancy = counts.get(target.name)! / SLOTS;
      }
    };
    const loads = (from: number, to: number): number[] =>
      targets.slice(from, to).map(({ name }) => counts.get(name)!);
    send(60);
    expect(loads(4, 8)).to.deep.equal([0, 0, 0, 0]);
    expect(Math.max(...loads(0, 4))).to.be.at.most(1.5 * Math.min(...loads(0, 4)));
    send(90);
    expect(Math.max(...loads(0, 4)), 'fast ones').to.be.below(SLOTS);
    expect(Math.min(...loads(4, 8)), 'slow ones').to.be.above(0);
  });
});
