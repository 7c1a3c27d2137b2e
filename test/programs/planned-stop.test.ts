import { expect } from 'chai';
import { CallingTargets } from '../support/calling-targets.js';

const GRACE_MS = 2_000;
const CALL_MS = 120;
const RUNS = 12;

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Symptom: calls that a target made through its sidecar had reached their target and ended without an answer, around a
 * planned stop of that sidecar.
 * Sequence: SIGTERM; runs go on and make one call after the other; the sidecar takes each of them until the moment at which
 * it ends all connections, at 0.85 of its grace time.
 * Cause: whether a call could still be finished was never asked, and nothing but the end itself bounded its time.
 * Settled by: 8 calls had arrived and were cut, sent 1,606 to 1,678 ms after the signal, where the end came at 1,700 ms
 * of 2,000 and calls take 120 ms.
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
});
