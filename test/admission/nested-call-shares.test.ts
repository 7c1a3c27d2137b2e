import { expect } from 'chai';
import { NestedCallShares } from '../../src/admission/nested-call-shares.js';
import { sampleExponential, SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

interface Load {
  readonly kind: string;
  readonly perSecond: number;
  /** Nested calls per run, spread over its duration. */
  readonly calls: number;
}

const RUN_MS = 120;
const ROUTE = 'fare';

function run(loads: readonly Load[], durationMs: number): NestedCallShares {
  const clock = new VirtualClock();
  const random = new SeededRandom(7);
  const shares = new NestedCallShares(clock);
  const start = ({ kind, calls }: Load): void => {
    shares.onStart(kind);
    for (let call = 1; call <= calls; call += 1) {
      clock.schedule((RUN_MS * call) / (calls + 1), () => shares.onNestedCall(ROUTE));
    }
    clock.schedule(RUN_MS, () => shares.onEnd(kind));
  };
  const arrive = (load: Load): void => {
    clock.schedule(sampleExponential(random, 1_000 / load.perSecond), () => {
      start(load);
      arrive(load);
    });
  };
  loads.forEach(arrive);
  clock.advance(durationMs);
  return shares;
}

describe('the kinds that make nested calls', () => {
  it('are told from those that make none, after a few seconds', () => {
    const shares = run(
      [
        { kind: 'feed', perSecond: 120, calls: 4 },
        { kind: 'upload', perSecond: 60, calls: 0 },
      ],
      5_000,
    );
    expect(shares.callsPerRun('feed', ROUTE)).to.be.closeTo(4, 0.5);
    expect(shares.callsPerRun('upload', ROUTE)).to.equal(0);
  });

  it('are both found where both make calls', () => {
    const shares = run(
      [
        { kind: 'book', perSecond: 40, calls: 2 },
        { kind: 'seats', perSecond: 100, calls: 1 },
      ],
      5_000,
    );
    expect(shares.callsPerRun('book', ROUTE)).to.be.closeTo(2, 0.5);
    expect(shares.callsPerRun('seats', ROUTE)).to.be.closeTo(1, 0.5);
  });

  it('are not guessed before there is enough to tell', () => {
    const shares = run([{ kind: 'feed', perSecond: 120, calls: 4 }], 150);
    expect(shares.callsPerRun('feed', ROUTE)).to.equal(0);
  });
});
