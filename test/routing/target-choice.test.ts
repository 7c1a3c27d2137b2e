import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { chooseTarget, type Candidate } from '../../src/routing/target-choice.js';

const ZONE = 'near';
const CONTEXT = { now: 0, slowStartMs: 0, meanLimit: 10 };
const SEEDS = 50;

interface Endpoint {
  readonly name: string;
  readonly zone: string;
  readonly occupancy?: number;
  readonly latencyRatio?: number;
  readonly ejected?: boolean;
}

interface NamedCandidate extends Candidate {
  readonly name: string;
}

function candidate(endpoint: Endpoint): NamedCandidate {
  const { name, zone, occupancy = 0.1, latencyRatio = 1, ejected = false } = endpoint;
  return {
    name,
    zone,
    isEjected: () => ejected,
    occupancy: () => occupancy,
    latencyRatio: () => latencyRatio,
    cost: () => occupancy * latencyRatio,
  };
}

/** Returns the names of the endpoints that are chosen with any of the seeds. */
function chosen(endpoints: readonly Endpoint[]): string[] {
  const candidates = endpoints.map(candidate);
  const names = Array.from({ length: SEEDS }, (_, seed) => {
    const random = new SeededRandom(seed);
    return chooseTarget(candidates, { callerZone: ZONE, context: CONTEXT, random })?.name ?? 'none';
  });
  return [...new Set(names)].sort();
}

describe('the rule that chooses a target', () => {
  const near = (name: string, values: Partial<Endpoint> = {}): Endpoint => ({
    name,
    zone: ZONE,
    ...values,
  });
  const far = (name: string, values: Partial<Endpoint> = {}): Endpoint => ({
    name,
    zone: 'far',
    ...values,
  });

  const CASES: readonly {
    readonly name: string;
    readonly endpoints: readonly Endpoint[];
    readonly expected: readonly string[];
  }[] = [
    { name: 'none where there is none', endpoints: [], expected: ['none'] },
    {
      name: 'the cheaper one of the zone, though another zone is emptier',
      endpoints: [near('a', { occupancy: 0.7 }), near('b', { occupancy: 0.6 }), far('c')],
      expected: ['b'],
    },
    {
      name: 'the zone, though full, while others cost half as much or more',
      endpoints: [near('a', { occupancy: 1 }), far('b', { occupancy: 0.5 })],
      expected: ['a'],
    },
    {
      name: 'another zone if the own one is full and costs more than twice as much',
      endpoints: [near('a', { occupancy: 1 }), far('b', { occupancy: 0.49 })],
      expected: ['b'],
    },
    {
      name: 'the zone just below full',
      endpoints: [near('a', { occupancy: 0.74 }), far('b', { occupancy: 0.01 })],
      expected: ['a'],
    },
    {
      name: 'another zone once the own one is full',
      endpoints: [near('a', { occupancy: 0.75 }), far('b', { occupancy: 0.01 })],
      expected: ['b'],
    },
    {
      name: 'the zone just below slow',
      endpoints: [near('a', { latencyRatio: 1.59 }), far('b', { occupancy: 0.01 })],
      expected: ['a'],
    },
    {
      name: 'another zone once the own one is slow',
      endpoints: [near('a', { latencyRatio: 1.6 }), far('b', { occupancy: 0.01 })],
      expected: ['b'],
    },
    {
      name: 'any zone where the own one has none',
      endpoints: [far('a', { occupancy: 2 }), far('b', { occupancy: 3 })],
      expected: ['a'],
    },
    {
      name: 'not an ejected one, though it is the cheapest',
      endpoints: [near('a', { ejected: true }), near('b', { occupancy: 0.6 })],
      expected: ['b'],
    },
    {
      name: 'an ejected one where more than half are',
      endpoints: [near('a', { ejected: true }), near('b', { ejected: true, occupancy: 0.3 })],
      expected: ['b'],
    },
  ];

  for (const { name, endpoints, expected } of CASES) {
    it(`takes ${name}`, () => {
      expect(chosen(endpoints)).to.deep.equal(expected);
    });
  }
});
