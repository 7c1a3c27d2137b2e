import { expect } from 'chai';
import { CallingTargets } from '../support/calling-targets.js';

const GRACE_MS = 2_000;
const CALL_MS = 120;
const RUNS = 12;

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Guards against calls of the target that a stopping sidecar accepts but can no longer finish: they reached their target
 * and then ended without a response.
 */
describe('the planned stop of a sidecar whose target makes calls', function () {
  this.timeout(30_000);
  let targets: CallingTargets;

  beforeEach(async () => {
    targets = await CallingTargets.start(GRACE_MS);
    targets.backWork = () => pause(CALL_MS);
  });

  afterEach(() => targets.end());

  it('cuts no call, also where runs last longer than the grace time', async () => {
    targets.callsPerRun = Math.ceil((2 * GRACE_MS) / CALL_MS);
    const runs = Array.from({ length: RUNS }, () => targets.ask('/front/'));
    await pause(2 * CALL_MS);
    const signalledAt = performance.now();
    await targets.front.stop();
    expect(performance.now() - signalledAt).to.be.below(GRACE_MS);
    await Promise.all(runs);
    expect(targets.cutCalls().map(({ sentAt }) => Math.round(sentAt - signalledAt))).to.deep.equal(
      [],
    );
    const after = targets.calls.filter(({ sentAt }) => sentAt > signalledAt);
    expect(after.length).to.be.above(RUNS);
  });

  it('lets the target of a call that takes longer than usual answer in time itself', async () => {
    targets.backWork = () => pause(10);
    for (let each = 0; each < RUNS; each += 1) await targets.call();
    const stopped = targets.front.stop();
    await pause(0.3 * GRACE_MS);
    targets.backWork = () => pause(2 * GRACE_MS);
    const made = await targets.call();
    expect({ status: made.status, isTargets: made.isTargets }).to.deep.equal({
      status: 504,
      isTargets: true,
    });
    await stopped;
  });

  it('cuts no call of runs that go on although their callers have left', async () => {
    targets.outlivesCaller = true;
    targets.callsPerRun = Math.ceil((2 * GRACE_MS) / CALL_MS);
    const runs = Array.from({ length: RUNS }, () => targets.ask('/front/', 2 * CALL_MS));
    await Promise.all(runs);
    const signalledAt = performance.now();
    await targets.front.stop();
    await pause(2 * CALL_MS);
    expect(targets.calls.filter(({ sentAt }) => sentAt > signalledAt)).not.to.deep.equal([]);
    expect(targets.cutCalls()).to.deep.equal([]);
  });

  /** The same on the called side: long calls were accepted while the sidecar drained, and aborted at its end. */
  it('takes no call for its target that it would not finish', async () => {
    const longMs = 0.6 * GRACE_MS;
    await targets.call();
    targets.backWork = () => pause(longMs);
    await Promise.all(Array.from({ length: RUNS }, () => targets.call()));
    targets.calls.length = 0;
    const stopped = targets.back.stop();
    const made: Promise<unknown>[] = [];
    for (let each = 0; each < RUNS; each += 1) {
      made.push(targets.call());
      await pause((0.8 * GRACE_MS) / RUNS);
    }
    await Promise.all([stopped, ...made]);
    expect(targets.cutCalls()).to.deep.equal([]);
    const statuses = new Set(targets.calls.map(({ status }) => status));
    expect([...statuses].sort()).to.deep.equal([200, 503]);
  });
});
