import { expect } from 'chai';
import fc from 'fast-check';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { CrashEvidence } from '../../src/quarantine/crash-evidence.js';

const GAP_MS = 400;
const SETTLED_MS = 1_000;

/** Has the format of a real fingerprint: the request, followed by the caller if there is one. */
function fingerprint(name: string, caller?: string): string {
  const request = name.padEnd(20, '0');
  return caller === undefined ? request : `${request}-${caller}`;
}

/** Fingerprint of a request from the default caller of these tests. */
function of(name: string): string {
  return fingerprint(name, 'a');
}

describe('the evidence of crashes', () => {
  let clock: VirtualClock;
  let evidence: CrashEvidence;
  let crashes: number;

  beforeEach(() => {
    clock = new VirtualClock();
    evidence = new CrashEvidence(clock);
    crashes = 0;
  });

  /** Reports a crash with these requests in flight, all from the default caller. */
  function crash(...names: string[]): void {
    crashBy('a', ...names);
  }

  function crashBy(caller: string, ...names: string[]): void {
    crashes += 1;
    const fingerprints = names.map((name) => fingerprint(name, caller));
    evidence.applyUpdate({ crashes: [{ instance: `i-${crashes}`, fingerprints }], acquitted: [] });
    clock.advance(GAP_MS);
  }

  function acquit(...names: string[]): void {
    const both = names.flatMap((name) => [fingerprint(name, 'a'), fingerprint(name)]);
    evidence.applyUpdate({ crashes: [], acquitted: both });
  }

  function blamed(): string[] {
    clock.advance(SETTLED_MS);
    return evidence.requestsToQuarantine();
  }

  it('blames a request after three crashes, and not after two', () => {
    crash('bad', 'a');
    crash('bad', 'b');
    expect(blamed()).to.deep.equal([]);
    crash('bad', 'c');
    expect(blamed()).to.deep.equal([of('bad')]);
  });

  it('gives gates time to say that the request ended well', () => {
    for (let each = 0; each < 3; each += 1) crash('popular');
    expect(evidence.requestsToQuarantine()).to.deep.equal([]);
    const suspects = evidence.suspectList().suspects.map((suspect) => suspect.fingerprint);
    expect(suspects).to.deep.equal([of('popular'), fingerprint('popular')]);
    acquit('popular');
    expect(blamed()).to.deep.equal([]);
    expect(evidence.suspectList().suspects).to.deep.equal([]);
  });

  it('counts a crash that is told again once', () => {
    const report = { instance: 'i-1', fingerprints: [of('bad')] };
    for (let each = 0; each < 5; each += 1) {
      evidence.applyUpdate({ crashes: [report], acquitted: [] });
      clock.advance(GAP_MS);
    }
    expect(evidence.crashCount(of('bad'))).to.equal(1);
    acquit('bad');
    evidence.applyUpdate({ crashes: [report], acquitted: [] });
    expect(evidence.crashCount(of('bad'))).to.equal(0);
  });

  it('blames the request of more crashes, and none that was merely there', () => {
    for (let each = 0; each < 3; each += 1) crash('bad', 'unlucky');
    crash('bad');
    expect(blamed()).to.deep.equal([of('bad')]);
    evidence.setQuarantines([{ fingerprint: of('bad'), inForce: true }]);
    expect(blamed()).to.deep.equal([]);
    expect(evidence.crashCount(of('unlucky'))).to.equal(0);
  });

  it('wants five crashes where it can not tell two requests apart', () => {
    for (let each = 0; each < 4; each += 1) crash('bad', 'companion');
    expect(blamed()).to.deep.equal([]);
    crash('bad', 'companion');
    expect(blamed()).to.have.members([of('bad'), of('companion')]);
  });

  it('goes on blaming a request until its quarantine is known, however long that takes', () => {
    for (let each = 0; each < 3; each += 1) crash('bad');
    clock.advance(60_000);
    expect(evidence.requestsToQuarantine()).to.deep.equal([of('bad')]);
    evidence.setQuarantines([{ fingerprint: of('bad'), inForce: true }]);
    expect(evidence.requestsToQuarantine()).to.deep.equal([]);
  });

  it('blames several requests that crash targets at the same time', () => {
    for (let each = 0; each < 3; each += 1) {
      crash('bad', `a-${each}`);
      crash('worse', `b-${each}`);
    }
    expect(blamed()).to.have.members([of('bad'), of('worse')]);
  });

  it('blames a request whoever sends it, once crashes came by two callers', () => {
    crashBy('a', 'bad');
    crashBy('b', 'bad');
    crashBy('c', 'bad');
    expect(blamed()).to.deep.equal([fingerprint('bad')]);
  });

  it('blames a request of one caller only, while others see it end well or have not sent it', () => {
    for (let each = 0; each < 3; each += 1) crashBy('a', 'bad');
    expect(blamed()).to.deep.equal([of('bad')]);
    evidence.setQuarantines([{ fingerprint: of('bad'), inForce: true }]);
    crashBy('b', 'bad');
    expect(blamed()).to.include(fingerprint('bad'));
  });

  it('forgets what spoke against a request that an operator takes out of quarantine', () => {
    for (let each = 0; each < 4; each += 1) crash('sound');
    evidence.setQuarantines([{ fingerprint: of('sound'), inForce: true }]);
    evidence.setQuarantines([]);
    expect(blamed()).to.deep.equal([]);
    expect(evidence.crashCount(of('sound'))).to.equal(0);
  });

  it('renews after one crash what was in quarantine, unless it ends well', () => {
    evidence.setQuarantines([
      { fingerprint: of('bad'), inForce: false },
      { fingerprint: of('mended'), inForce: false },
    ]);
    crash('bad');
    crash('mended');
    acquit('mended');
    clock.advance(SETTLED_MS);
    expect(evidence.shouldRenew(of('bad'))).to.equal(true);
    expect(evidence.shouldRenew(of('mended'))).to.equal(false);
  });

  it('blames no request that ends well now and then, and always the one that never does', () => {
    const underWay = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { maxLength: 4 });
    fc.assert(
      fc.property(fc.array(underWay, { minLength: 6, maxLength: 30 }), (others) => {
        evidence = new CrashEvidence(clock);
        for (const each of others) {
          crash('bad', ...each);
          // The other requests succeed between two crashes.
          acquit(...each);
        }
        expect(blamed()).to.deep.equal([of('bad')]);
      }),
    );
  });

  it('stays bounded when each crash is of other requests', () => {
    for (let each = 0; each < 2_000; each += 1) crash(`once-${each}`);
    expect(evidence.suspectList().suspects).to.deep.equal([]);
    expect(evidence.crashCount(of('once-0'))).to.equal(0);
    expect(evidence.crashCount(of('once-1999'))).to.equal(1);
  });
});
