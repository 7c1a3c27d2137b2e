/**
 * Every order of proposals, messages, crashes and lost disks of three seeds that form a replica set, up to the stated numbers.
 * FORMATION_DEPTH, FORMATION_PROPOSALS, FORMATION_CRASHES and FORMATION_LOST_DISKS widen the search by hand.
 */
import { expect } from 'chai';
import {
  FormationModel,
  type FormationModelOptions,
  type FormationModelResult,
} from '../../lab/simulator/formation/formation-model.js';

const CALM: FormationModelOptions = {
  quorum: 'majority',
  depth: 100,
  proposals: 2,
  crashes: 0,
  lostDisks: 0,
  duplicates: 0,
};

function explore(options: Partial<FormationModelOptions>): FormationModelResult {
  return new FormationModel({ ...CALM, ...options }).explore();
}

function numberFrom(variable: string, otherwise: number): number {
  return Number(process.env[variable] ?? otherwise);
}

function expectOneSet(result: FormationModelResult): void {
  const { violation, states, steps, isComplete } = result;
  expect(violation, violation?.join('\n')).to.equal(undefined);
  const extent = isComplete ? 'complete' : 'limited by the number of steps';
  console.log(`      ${states} states, ${steps} steps, ${extent}`);
}

describe('the formation of a replica set, in every order', function () {
  this.timeout(24 * 3_600_000);

  it('chooses one set at most, with two proposals and no faults, to the last state', () => {
    const result = explore({});
    expectOneSet(result);
    expect(result.isComplete).to.equal(true);
  });

  it('chooses one set at most, with crashes and a lost disk', () => {
    expectOneSet(
      explore({
        depth: numberFrom('FORMATION_DEPTH', 100),
        proposals: numberFrom('FORMATION_PROPOSALS', 2),
        crashes: numberFrom('FORMATION_CRASHES', 1),
        lostDisks: numberFrom('FORMATION_LOST_DISKS', 1),
      }),
    );
  });

  it('chooses one set at most, where all have to agree and two have lost their disks', () => {
    expectOneSet(explore({ quorum: 'all', depth: 9, crashes: 1, lostDisks: 2 }));
  });

  it('chooses two sets if an acceptor answers without syncing its record', () => {
    const { violation } = explore({ depth: 12, crashes: 1, answersWithoutSync: true });
    expect(violation).to.not.equal(undefined);
  });

  it('chooses two sets if a seed that lost its disk is an acceptor without memory', () => {
    const { violation } = explore({ depth: 12, lostDisks: 1, forgetsWithDisk: true });
    expect(violation).to.not.equal(undefined);
  });
});
