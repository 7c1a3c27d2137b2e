import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { OutboundResult } from '../../src/outbound/outbound-request.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { AttemptListener, OutboundTransport } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { RetryBudget } from '../../src/retry/retry-budget.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';

const USUAL_MS = 20;
const ANSWERED: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: { inFlight: 1, limit: 10 },
};

/** A transport whose nodes answer after a given latency. */
class TimedTransport implements OutboundTransport {
  readonly replayable = true;
  readonly sentTo: string[] = [];
  cancelled = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly latencyMs: (attempt: number) => number,
  ) {}

  send(endpoint: EndpointRecord, _envelope: unknown, listener: AttemptListener) {
    this.sentTo.push(endpoint.id);
    const latencyMs = this.latencyMs(this.sentTo.length);
    const timer = this.clock.schedule(latencyMs, () => {
      listener.onHead({ status: 200, outcome: ANSWERED });
      listener.onEnd();
    });
    const cancel = (): void => {
      this.cancelled += 1;
      timer.cancel();
    };
    return { written: true, cancel };
  }
}

describe('a call whose answer is late', () => {
  function deployment(options: { budget?: number; nodes?: number } = {}) {
    const clock = new VirtualClock();
    const random = new SeededRandom(3);
    const balancer = oneZoneBalancer(clock, random, options.nodes);
    const throttle = new OverloadThrottle(random);
    const budget = new RetryBudget(options.budget ?? 5);
    const run = (latencyMs: (attempt: number) => number, members = {}) => {
      const transport = new TimedTransport(clock, latencyMs);
      const results: OutboundResult[] = [];
      const startedAt = clock.now();
      const request = {
        trafficClass: 'read',
        priority: 1,
        repeatable: true,
        deadlineAt: startedAt + 1_000,
        retryRatio: 0,
        allowance: new RetryAllowance(1),
        hedgeDelayFactor: 6,
        ...members,
      };
      const services = { clock, throttle, budget, balancer };
      new OutboundCall(request, services, transport, (result) => results.push(result)).start();
      clock.advance(1_001);
      return { sentTo: transport.sentTo, cancelled: transport.cancelled, result: results[0]?.type };
    };
    for (let call = 0; call < 30; call += 1) run(() => USUAL_MS);
    return { run };
  }
  const answerLostOnce = (attempt: number): number => (attempt === 1 ? 5_000 : USUAL_MS);

  it('goes to another node, which answers it', () => {
    const { sentTo, cancelled, result } = deployment().run(answerLostOnce);
    expect(new Set(sentTo).size).to.equal(2);
    expect([cancelled, result]).to.deep.equal([1, 'relayed']);
  });

  it('stays where it is if it may run only once, has no retry left, or nowhere else to go', () => {
    const cases = [
      deployment().run(answerLostOnce, { repeatable: false }),
      deployment().run(answerLostOnce, { allowance: new RetryAllowance(0) }),
      deployment({ budget: 0 }).run(answerLostOnce),
      deployment({ nodes: 1 }).run(answerLostOnce),
      deployment().run(answerLostOnce, { hedgeDelayFactor: undefined }),
    ];
    for (const { sentTo, result } of cases) {
      expect([sentTo.length, result]).to.deep.equal([1, 'refused']);
    }
  });

  it('waits for an answer that is only somewhat late', () => {
    const { sentTo, result } = deployment().run(() => 3 * USUAL_MS);
    expect([sentTo.length, result]).to.deep.equal([1, 'relayed']);
  });
});
