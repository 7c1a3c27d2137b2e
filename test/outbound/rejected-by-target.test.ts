import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { AttemptListener, OutboundTransport } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { RetryBudget } from '../../src/retry/retry-budget.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';

const CALLS = 200;
const RETRY_BURST = 5;
const RETRY_RATIO = 0.05;

/** A transport whose nodes all refuse because of overload. */
class RefusingTransport implements OutboundTransport {
  readonly replayable = true;
  sent = 0;

  constructor(private readonly outcome: Outcome) {}

  send(_endpoint: unknown, _envelope: unknown, listener: AttemptListener) {
    this.sent += 1;
    queueMicrotask(() => listener.onHead({ status: 0, outcome: this.outcome }));
    return { written: true, cancel: () => undefined };
  }
}

describe('calls that are refused for overload', () => {
  /** Makes sequential calls. @returns the number of attempts beyond the first of each call */
  async function countResent(rejectedByTarget: boolean): Promise<number> {
    const clock = new VirtualClock();
    const random = new SeededRandom(4);
    const balancer = oneZoneBalancer(clock, random);
    const services = {
      clock,
      balancer,
      throttle: new OverloadThrottle(random, { enabled: false }),
      budget: new RetryBudget(RETRY_BURST),
    };
    const transport = new RefusingTransport({
      verdict: 'not-run',
      refusal: 'overload',
      overloaded: true,
      rejectedByTarget,
      unspentRetries: 0,
      load: undefined,
    });
    for (let call = 0; call < CALLS; call += 1) {
      const request = {
        trafficClass: 'check',
        priority: 1,
        repeatable: true,
        deadlineAt: clock.now() + 1_000,
        retryRatio: RETRY_RATIO,
        allowance: new RetryAllowance(1),
        overloadReroutes: 1,
      };
      await new Promise<void>((resolve) => {
        new OutboundCall(request, services, transport, () => resolve()).start();
      });
    }
    return transport.sent - CALLS;
  }

  it('go to another target at the cost of a retry if a target has turned them away', async () => {
    expect(await countResent(true)).to.be.within(
      RETRY_BURST,
      RETRY_BURST + RETRY_RATIO * CALLS + 1,
    );
  });

  it('go to another target at no cost if they never reached one', async () => {
    expect(await countResent(false)).to.equal(CALLS);
  });
});
