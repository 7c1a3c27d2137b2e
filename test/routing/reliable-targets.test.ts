import { expect } from 'chai';
import { selectReliable, type ReportingCandidate } from '../../src/routing/reliable-targets.js';

const CONTEXT = { now: 0, slowStartMs: 0, meanLimit: 10 };

function candidate(share: number, occupancy = 0.3): ReportingCandidate {
  return {
    zone: 'a',
    isEjected: () => false,
    occupancy: () => occupancy,
    latencyRatio: () => 1,
    cost: () => occupancy,
    unservedShare: () => share,
  };
}

describe('targets that leave runs unserved', () => {
  it('are left out while others have room', () => {
    const [losing, sound, other] = [candidate(0.4), candidate(0), candidate(0.1)];
    expect(selectReliable([losing, sound, other], false, CONTEXT)).to.deep.equal([sound, other]);
  });

  it('are used where the others are full', () => {
    const candidates = [candidate(0.4), candidate(0, 0.8), candidate(0, 1.2)];
    expect(selectReliable(candidates, false, CONTEXT)).to.equal(candidates);
  });

  it('are used where all of them do', () => {
    const candidates = [candidate(0.5), candidate(0.45)];
    expect(selectReliable(candidates, false, CONTEXT)).to.equal(candidates);
  });
});
