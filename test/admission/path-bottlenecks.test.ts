import { expect } from 'chai';
import { NestedCallShares } from '../../src/admission/nested-call-shares.js';
import { PathBottlenecks } from '../../src/admission/path-bottlenecks.js';
import { TargetPressure } from '../../src/admission/target-pressure.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import type { Bottleneck } from '../../src/call/outcome.js';

const DEEP: Bottleneck = { service: 'quoter', pressure: 1.8 };

describe('the bottleneck on the path of calls', () => {
  let clock: VirtualClock;
  let load = 0;
  let bottlenecks: PathBottlenecks;

  beforeEach(() => {
    clock = new VirtualClock();
    load = 0;
    bottlenecks = new PathBottlenecks({
      clock,
      service: () => 'deposit',
      pressure: new TargetPressure(clock, () => ({ limit: 100, inFlight: load, waiting: 0 })),
      shares: new NestedCallShares(clock),
    });
  });

  /** Runs calls of a kind that makes nested calls and, now and then, of one that makes none. */
  function run(durationMs: number, told: Bottleneck | undefined): void {
    for (let ms = 0; ms < durationMs; ms += 10) {
      const hasHold = Math.floor(ms / 300) % 2 === 0;
      const hasCredit = Math.floor(ms / 500) % 2 === 0;
      if (hasCredit) bottlenecks.onStart('credit');
      if (hasHold) bottlenecks.onStart('hold');
      if (hasCredit) {
        bottlenecks.onNestedCall('tax');
        bottlenecks.onNestedAnswer('tax', told);
      }
      clock.advance(10);
      if (hasCredit) bottlenecks.onEnd('credit');
      if (hasHold) bottlenecks.onEnd('hold');
    }
  }

  it('is passed on to the kinds that make the nested calls, and to no other', () => {
    run(3_400, DEEP);
    expect(bottlenecks.bottleneckOf('credit')?.service).to.equal('quoter');
    expect(bottlenecks.bottleneckOf('hold')).to.equal(undefined);
  });

  it('is the own service if that one is more loaded', () => {
    run(3_400, { ...DEEP, pressure: 1.05 });
    load = 130;
    run(1_400, { ...DEEP, pressure: 1.05 });
    expect(bottlenecks.bottleneckOf('credit')?.service).to.equal('deposit');
    expect(bottlenecks.bottleneckOf('hold')?.service).to.equal('deposit');
  });

  it('is forgotten when nested calls are no longer told one, or no longer answered', () => {
    run(3_400, DEEP);
    clock.advance(2_000);
    expect(bottlenecks.bottleneckOf('credit')).to.equal(undefined);
    run(3_400, DEEP);
    expect(bottlenecks.bottleneckOf('credit')).not.to.equal(undefined);
    run(1_400, undefined);
    expect(bottlenecks.bottleneckOf('credit')).to.equal(undefined);
  });
});
