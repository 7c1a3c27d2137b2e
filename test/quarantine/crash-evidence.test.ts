import { expect } from 'chai';
import fc from 'fast-check';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';

const GAP_MS = 400;
const SETTLED_MS = 1_000;

describe('the evidence of crashes', () => {
  let clock: VirtualClock;
  let evidence: CrashEvidence;
  let crashes: number;

  beforeEach(() => {
    clock = new VirtualClock();
    evidence = new CrashEvidence(clock);
    crashes = 0;
  });

  function crash(...fingerprints: string[]): void {
    crashes += 1;
    evidence.onNews({ crashes: [{ instance: `i-${crashes}`, fingerprints }], acquitted: [] });
    clock.advance(GAP_MS);
  }

  function acquit(...acquitted: string[]): void {
    evidence.onNews({ crashes: [], acquitted });
  }

  function blamed(): string[] {
    clock.advance(SETTLED_MS);
    return evidence.blamed();
  }

  it('blames a request after three crashes, and not after two', () => {
    crash('bad', 'a');
    crash('bad', 'b');
    expect(blamed()).to.deep.equal([]);
    crash('bad', 'c');
    expect(blamed()).to.deep.equal(['bad']);
  });

  it('gives gates time to say that the request ended well', () => {
    for (let each = 0; each < 3; each += 1) crash('popular');
    expect(evidence.blamed()).to.deep.equal([]);
    expect(evidence.suspectList().suspects.map(({ fingerprint }) => fingerprint)).to.deep.equal([
      'popular',
    ]);
    acquit('popular');
    expect(blamed()).to.deep.equal([]);
    expect(evidence.suspectList().suspects).to.deep.equal([]);
  });

  it('counts a crash that is told again once', () => {
    const report = { instance: 'i-1', fingerprints: ['bad'] };
    for (let each = 0; each < 5; each += 1) {
      evidence.onNews({ crashes: [report], acquitted: [] });
      clock.advance(GAP_MS);
    }
    expect(evidence.crashesUnder('bad')).to.equal(1);
    acquit('bad');
    evidence.onNews({ crashes: [report], acquitted: [] });
    expect(evidence.crashesUnder('bad')).to.equal(0);
  });

  it('blames the request of more crashes, and none that was merely there', () => {
    for (let each = 0; each < 3; each += 1) crash('bad', 'unlucky');
    crash('bad');
    expect(blamed()).to.deep.equal(['bad']);
    evidence.explain('bad');
    expect(blamed()).to.deep.equal([]);
    expect(evidence.crashesUnder('unlucky')).to.equal(0);
  });

  it('wants five crashes where it can not tell two requests apart', () => {
    for (let each = 0; each < 4; each += 1) crash('bad', 'companion');
    expect(blamed()).to.deep.equal([]);
    crash('bad', 'companion');
    expect(blamed()).to.have.members(['bad', 'companion']);
  });

  it('blames several requests that crash targets at the same time', () => {
    for (let each = 0; each < 3; each += 1) {
      crash('bad', `a-${each}`);
      crash('worse', `b-${each}`);
    }
    expect(blamed()).to.have.members(['bad', 'worse']);
  });

  it('renews after one crash what was in quarantine, unless it ends well', () => {
    evidence.setProbation(new Set(['bad', 'mended']));
    crash('bad');
    crash('mended');
    acquit('mended');
    clock.advance(SETTLED_MS);
    expect(evidence.blamesOnProbation('bad')).to.equal(true);
    expect(evidence.blamesOnProbation('mended')).to.equal(false);
  });

  it('blames no request that ends well now and then, and always the one that never does', () => {
    const underWay = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { maxLength: 4 });
    fc.assert(
      fc.property(fc.array(underWay, { minLength: 6, maxLength: 30 }), (others) => {
        evidence = new CrashEvidence(clock);
        for (const each of others) {
          crash('bad', ...each);
          // Each of the innocent ones ends well somewhere between two crashes.
          acquit(...each);
        }
        expect(blamed()).to.deep.equal(['bad']);
      }),
    );
  });

  it('stays bounded when each crash is of other requests', () => {
    for (let each = 0; each < 2_000; each += 1) crash(`once-${each}`);
    expect(evidence.suspectList().suspects).to.deep.equal([]);
    expect(evidence.crashesUnder('once-0')).to.equal(0);
    expect(evidence.crashesUnder('once-1999')).to.equal(1);
  });
});
