import { expect } from 'chai';
import {
  ALL_REPLICATION_MECHANISMS,
  ReplicationWorld,
  type ReplicationResult,
} from '../../lab/simulator/replication/replication-world.js';
import { ConfigurationProof } from '../../src/follower/configuration-proof.js';

const SEEDS = 150;
const FAULT_MS = 8_000;
/** Minimum average time per seed for which followers are checked against their proofs, in milliseconds. */
const MIN_PROVEN_MS = 10_000;

function simulate(seed: number, confirmReads: boolean): ReplicationResult {
  const mechanisms = {
    ...ALL_REPLICATION_MECHANISMS,
    confirmReads,
    // Off without confirmed reads: a partitioned leader would step down before it reported a stale revision.
    checkQuorum: confirmReads,
  };
  return new ReplicationWorld({
    seed,
    faultMs: FAULT_MS,
    mechanisms,
    tracksFollowerStaleness: true,
  }).execute();
}

describe('the proof that a configuration is the newest', function () {
  this.timeout(300_000);

  it('counts from before the question, once the revision is in force', () => {
    const proof = new ConfigurationProof();
    expect(proof.ageMs(100)).to.equal(Infinity);
    proof.onConfirmed({ revision: 7, provenAt: 50 }, 6);
    expect(proof.ageMs(100)).to.equal(Infinity);
    proof.onApplied(7);
    expect(proof.ageMs(100)).to.equal(50);
  });

  it('is not made older by an answer that comes late', () => {
    const proof = new ConfigurationProof();
    proof.onConfirmed({ revision: 7, provenAt: 50 }, 7);
    proof.onConfirmed({ revision: 7, provenAt: 40 }, 7);
    expect(proof.ageMs(100)).to.equal(50);
  });

  it('grows with an older revision while newer ones follow in quick succession', () => {
    const proof = new ConfigurationProof();
    for (let revision = 2; revision < 100; revision += 1) {
      proof.onConfirmed({ revision, provenAt: revision * 10 }, revision - 1);
    }
    expect(proof.ageMs(1_000)).to.equal(1_000 - 980);
  });

  it(`is true with ${SEEDS} seeds of cuts, freezes, elections and losses of power`, () => {
    let provenMs = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = simulate(seed, true);
      provenMs += result.provenMs;
      const text = `seed ${seed}:\n${result.violations.join('\n')}\n${result.faults.join('\n')}`;
      expect(result.violations, text).to.deep.equal([]);
    }
    expect(provenMs).to.be.greaterThan(SEEDS * MIN_PROVEN_MS);
  });

  it('is false where no majority confirms the leader', () => {
    const broken = Array.from({ length: 40 }, (_, index) => simulate(index + 1, false)).filter(
      ({ violations }) => violations.some((text) => text.includes('proven for')),
    );
    expect(broken).to.not.deep.equal([]);
  });
});
