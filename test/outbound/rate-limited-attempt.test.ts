import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { Attempt, AttemptListener } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { OutboundResult } from '../../src/outbound/outbound-request.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { UNLIMITED_RETRIES } from '../../src/retry/retry-budget.js';
import type { Balancer } from '../../src/routing/balancer.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';

const TARGETS = 6;
const USUAL_MS = 20;
const SLOW_MS = 300;
const RETURN_IN_MS = 400;
const ANSWERED: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: { inFlight: 1, limit: 10 },
};
const LIMITED: Outcome = {
  ...ANSWERED,
  verdict: 'not-run',
  refusal: 'target-rate-limit',
  returnInMs: RETURN_IN_MS,
};

describe('a call to targets at their rate limits', () => {
  let clock: VirtualClock;
  let balancer: Balancer;
  let sentTo: string[];

  beforeEach(() => {
    clock = new VirtualClock();
    balancer = oneZoneBalancer(clock, new SeededRandom(3), TARGETS);
    sentTo = [];
  });

  /** Makes a call. @param outcomeOf returns the outcome and latency of the attempt with this number, from 0 */
  function call(
    outcomeOf: (attempt: number) => { outcome: Outcome; latencyMs: number },
    allowance: RetryAllowance,
  ): OutboundResult | undefined {
    let result: OutboundResult | undefined;
    let attempts = 0;
    const transport = {
      replayable: true,
      send: ({ id }: EndpointRecord, _envelope: unknown, to: AttemptListener): Attempt => {
        sentTo.push(id);
        const { outcome, latencyMs } = outcomeOf(attempts);
        attempts += 1;
        const timer = clock.schedule(latencyMs, () => {
          if (to.onHead({ status: 200, outcome }) === 'relay') to.onEnd();
        });
        return { written: true, cancel: () => timer.cancel() };
      },
    };
    const services = {
      clock,
      balancer,
      throttle: new OverloadThrottle(new SeededRandom(4)),
      budget: UNLIMITED_RETRIES,
    };
    const request = {
      trafficClass: 'read',
      priority: 2,
      repeatable: true,
      deadlineAt: clock.now() + 1_000,
      retryRatio: 0,
      allowance,
      hedgeDelayFactor: 6,
    };
    new OutboundCall(request, services, transport, (ended) => (result = ended)).start();
    clock.advance(1_001);
    return result;
  }

  it('is sent to others until one has room, without a retry', () => {
    const allowance = new RetryAllowance(0);
    const result = call(
      (attempt) => ({ outcome: attempt < TARGETS - 1 ? LIMITED : ANSWERED, latencyMs: 1 }),
      allowance,
    );
    expect(result?.type).to.equal('relayed');
    expect(new Set(sentTo).size).to.equal(TARGETS);
  });

  it('is refused as not run, with the time at which one of them has room', () => {
    const result = call(() => ({ outcome: LIMITED, latencyMs: 1 }), new RetryAllowance(1));
    if (result?.type !== 'refused') throw new Error('the call was not refused');
    const { reason, verdict, retryAfterSeconds } = result.refusal;
    expect({ reason, verdict }).to.deep.equal({ reason: 'target-rate-limit', verdict: 'not-run' });
    expect(retryAfterSeconds).to.be.closeTo((RETURN_IN_MS - TARGETS) / 1_000, 0.01);
    expect(result.overloaded).to.equal(false);
  });

  it('is sent to those that want calls of its priority', () => {
    const pick = balancer.pick(new Set(), { trafficClass: 'read', priority: 2 })!;
    pick.end('cancelled', LIMITED);
    const picked = (priority: number): Set<string> => {
      const picks = Array.from({ length: 200 }, () =>
        balancer.pick(new Set(), { trafficClass: 'read', priority })!,
      );
      for (const each of picks) each.end('cancelled', undefined);
      return new Set(picks.map(({ endpoint }) => endpoint.id));
    };
    const { id } = pick.endpoint;
    expect(picked(2).has(id), 'the same priority').to.equal(false);
    expect(picked(3).has(id), 'less urgent calls').to.equal(false);
    expect(picked(1).has(id), 'more urgent calls').to.equal(true);
    clock.advance(RETURN_IN_MS);
    expect(picked(2).has(id), 'after that time').to.equal(true);
  });

  it('spends no retry on a hedged request that they refuse', () => {
    for (let each = 0; each < 30; each += 1) {
      call(() => ({ outcome: ANSWERED, latencyMs: USUAL_MS }), new RetryAllowance(0));
    }
    sentTo.length = 0;
    const allowance = new RetryAllowance(1);
    const outcomes = [ANSWERED, LIMITED, ANSWERED];
    const latencies = [SLOW_MS, 1, 1];
    const result = call(
      (attempt) => ({ outcome: outcomes[attempt]!, latencyMs: latencies[attempt]! }),
      allowance,
    );
    expect(result?.type).to.equal('relayed');
    expect(sentTo).to.have.length(3);
    expect(allowance.available).to.equal(0);
  });
});
