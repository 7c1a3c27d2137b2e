/**
 * Guards against cancelling one attempt of a hedged request before the other one is answered: if that one is then refused,
 * the request fails although a target was still processing it.
 */
import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { OutboundResult } from '../../src/outbound/outbound-request.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { AttemptListener } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { UNLIMITED_RETRIES } from '../../src/retry/retry-budget.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';

const USUAL_MS = 20;
/** Latency of the slow call: above the hedge delay and well below the deadline. */
const SLOW_MS = 300;
const DEADLINE_MS = 1_000;
const ANSWERED: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: { inFlight: 1, limit: 10 },
};
const REFUSED: Outcome = { ...ANSWERED, verdict: 'not-run', refusal: 'retry-budget' };

/** Latency and outcome of the second attempt of a call. */
interface SecondAttempt {
  readonly latencyMs: number;
  readonly outcome: Outcome;
}

describe('a hedged request', () => {
  /** Makes a slow call. @returns how it ended, and which attempts were cancelled */
  function slowCall(
    second: SecondAttempt,
    first = ANSWERED,
  ): { type: string | undefined; cancelled: string[] } {
    const cancelled: string[] = [];
    const clock = new VirtualClock();
    const random = new SeededRandom(3);
    const balancer = oneZoneBalancer(clock, random);
    const services = {
      clock,
      balancer,
      throttle: new OverloadThrottle(random),
      budget: UNLIMITED_RETRIES,
    };
    const run = (latencyMs: number, ofFirst = ANSWERED): OutboundResult | undefined => {
      let result: OutboundResult | undefined;
      const transport = {
        replayable: true,
        send: (_endpoint: unknown, { isRepeat }: { isRepeat: boolean }, to: AttemptListener) => {
          const outcome = isRepeat ? second.outcome : ofFirst;
          const timer = clock.schedule(isRepeat ? second.latencyMs : latencyMs, () => {
            if (to.onHead({ status: 200, outcome }) === 'relay') {
              to.onEnd();
            }
          });
          const cancel = (): void => {
            cancelled.push(isRepeat ? 'second' : 'first');
            timer.cancel();
          };
          return { written: true, cancel };
        },
      };
      const request = {
        trafficClass: 'read',
        priority: 1,
        repeatable: true,
        deadlineAt: clock.now() + DEADLINE_MS,
        retryRatio: 0,
        allowance: new RetryAllowance(1),
        hedgeDelayFactor: 6,
      };
      new OutboundCall(request, services, transport, (ended) => (result = ended)).start();
      clock.advance(DEADLINE_MS + 1);
      return result;
    };
    for (let call = 0; call < 30; call += 1) run(USUAL_MS);
    const result = run(SLOW_MS, first);
    return { type: result?.type, cancelled };
  }

  it('is answered by the target that is at work on it if the second attempt is refused', () => {
    expect(slowCall({ latencyMs: 1, outcome: REFUSED }).type).to.equal('relayed');
  });

  /** The first attempt is refused by a stopping gate: the second one must not be cancelled. */
  it('is answered by the second attempt if the first one is refused', () => {
    const leaving: Outcome = { ...ANSWERED, verdict: 'may-have-run', refusal: 'leaving' };
    const ended = slowCall({ latencyMs: SLOW_MS, outcome: ANSWERED }, leaving);
    expect(ended).to.deep.equal({ type: 'relayed', cancelled: ['first'] });
  });

  it('is answered by whichever answers first, and the other attempt is given up', () => {
    const late = slowCall({ latencyMs: SLOW_MS, outcome: ANSWERED });
    expect(late).to.deep.equal({ type: 'relayed', cancelled: ['second'] });
    const soon = slowCall({ latencyMs: 1, outcome: ANSWERED });
    expect(soon).to.deep.equal({ type: 'relayed', cancelled: ['first'] });
  });
});
