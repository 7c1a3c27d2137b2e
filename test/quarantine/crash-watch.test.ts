import { expect } from 'chai';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { TargetLease, type HeldTarget } from '../../src/membership/target-lease.js';
import type { CrashReport } from '../../src/quarantine/crash-report.js';
import { CrashWatch, RunEnd } from '../../src/quarantine/crash-watch.js';

const LEASE_MS = 6_000;

function report(instance: string, state: HeldTarget['state'] = 'ready'): HeldTarget {
  const place = { service: 'ledger', address: '127.0.0.1:1', slots: 8 };
  return { instance, incarnation: instance, ...place, state, sequence: 1, coldRemainingMs: 0 };
}

describe('the watch for crashes of a target', () => {
  let clock: VirtualClock;
  let target: HeldTarget | undefined;
  let refuses: boolean;
  let probes: number;
  let crashes: CrashReport[];
  let goodEnds: string[];
  let watch: CrashWatch;

  beforeEach(() => {
    clock = new VirtualClock();
    target = report('first');
    refuses = false;
    probes = 0;
    crashes = [];
    goodEnds = [];
    watch = new CrashWatch({
      clock,
      target: () => target,
      refusesConnections: async () => {
        probes += 1;
        return refuses;
      },
      onCrash: (crash) => crashes.push(crash),
      onAnswered: (fingerprint) => goodEnds.push(fingerprint),
    });
    watch.onTarget(target);
  });

  it('takes a broken connection for none while the port takes others', async () => {
    const run = watch.begin('lost-answer');
    run.end(RunEnd.Lost);
    expect(await run.targetState()).to.deep.equal({ isDown: false, underWay: 0 });
    expect(crashes).to.deep.equal([]);
  });

  // Guards against missing a crash under requests that were sent before the start time of the target became known.
  it('finds a crash under requests that were sent before the first report of the target', async () => {
    const lease = new TargetLease(clock, LEASE_MS, () => undefined);
    watch = new CrashWatch({
      clock,
      target: () => lease.current,
      refusesConnections: () => Promise.resolve(true),
      onCrash: (crash) => crashes.push(crash),
      onAnswered: () => undefined,
    });
    lease.onReport({ ...report('first'), sequence: 0 });
    watch.onTarget(lease.current);
    const run = watch.begin('broken');
    lease.onReport({ ...report('first'), born: 1_000 });
    watch.onTarget(lease.current);
    run.end(RunEnd.Lost);
    expect((await run.targetState()).isDown).to.equal(true);
    expect(crashes[0]?.fingerprints).to.deep.equal(['broken']);
  });

  it('names all requests that were in the target when its port refuses', async () => {
    refuses = true;
    const broken = watch.begin('broken');
    watch.begin('under-way');
    watch.begin('answered').end(RunEnd.Answered);
    watch.begin('under-way');
    broken.end(RunEnd.Lost);
    const states = await Promise.all([broken.targetState(), broken.targetState()]);
    expect(states[0]).to.deep.equal({ isDown: true, underWay: 2 });
    expect(probes).to.equal(1);
    expect(crashes).to.have.length(1);
    expect(crashes[0]!.instance).to.equal('first');
    expect(crashes[0]!.fingerprints).to.have.members(['broken', 'under-way']);
    expect(goodEnds).to.deep.equal(['answered']);
  });

  it('takes an incarnation that listens again for up', async () => {
    refuses = true;
    const broken = watch.begin('broken');
    broken.end(RunEnd.Lost);
    expect((await broken.targetState()).isDown).to.equal(true);
    refuses = false;
    const lost = watch.begin('lost-answer');
    lost.end(RunEnd.Lost);
    expect((await lost.targetState()).isDown).to.equal(false);
  });

  it('knows of a crash from the next incarnation, also where the port answered again', () => {
    watch.begin('lost').end(RunEnd.Lost);
    target = report('second');
    watch.onTarget(target);
    expect(crashes).to.deep.equal([{ instance: 'first', fingerprints: ['lost'] }]);
  });

  it('takes no target that had said that it leaves for a crashed one', () => {
    watch.begin('cut').end(RunEnd.Lost);
    watch.onTarget(report('first', 'leaving'));
    watch.onTarget(report('second'));
    expect(crashes).to.deep.equal([]);
  });

  it('forgets runs that were lost long before', () => {
    watch.begin('long-ago').end(RunEnd.Lost);
    clock.advance(6_000);
    watch.onTarget(report('second'));
    expect(crashes).to.deep.equal([{ instance: 'first', fingerprints: [] }]);
  });
});
