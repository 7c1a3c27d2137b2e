/**
 * Guards against the verdict `not-run` for a hedged request of which one attempt was written: its caller could send it again
 * although it may have run. An attempt may be written only after the other one was sent.
 */
import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { Attempt, AttemptListener } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { OutboundResult } from '../../src/outbound/outbound-request.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { UNLIMITED_RETRIES } from '../../src/retry/retry-budget.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';

const USUAL_MS = 20;
/** After the hedge delay of 120 ms. */
const WRITTEN_LATE_MS = 150;
const BROKEN_MS = 200;
const DEADLINE_MS = 1_000;
const ANSWERED: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: { inFlight: 1, limit: 10 },
};
const REFUSED: Outcome = { ...ANSWERED, verdict: 'not-run', refusal: 'overload', overloaded: true };

/** An attempt whose `written` flag is set by the script. */
interface ScriptedAttempt extends Attempt {
  written: boolean;
}

/** Simulates what happens to an attempt after it was sent. */
type Script = (attempt: ScriptedAttempt, listener: AttemptListener, clock: VirtualClock) => void;

const answerSoon: Script = (attempt, listener, clock) => {
  attempt.written = true;
  clock.schedule(USUAL_MS, () => {
    listener.onHead({ status: 200, outcome: ANSWERED });
    listener.onEnd();
  });
};

const writeLate: Script = (attempt, _listener, clock) => {
  clock.schedule(WRITTEN_LATE_MS, () => (attempt.written = true));
};

const writeLateAndBreak: Script = (attempt, listener, clock) => {
  writeLate(attempt, listener, clock);
  clock.schedule(BROKEN_MS, () => listener.onFailure({ reason: 'reset', written: true }));
};

const refuseLater: Script = (attempt, listener, clock) => {
  attempt.written = true;
  clock.schedule(WRITTEN_LATE_MS, () => listener.onHead({ status: 0, outcome: REFUSED }));
};

const neverWrite: Script = () => undefined;

describe('a hedged request that ends without an answer', () => {
  /** Makes a call with two scripted attempts. @returns the result of the call */
  function endOf(first: Script, second: Script): OutboundResult | undefined {
    const clock = new VirtualClock();
    const random = new SeededRandom(3);
    const services = {
      clock,
      balancer: oneZoneBalancer(clock, random),
      throttle: new OverloadThrottle(random),
      budget: UNLIMITED_RETRIES,
    };
    const run = (scripts: readonly Script[]): OutboundResult | undefined => {
      let result: OutboundResult | undefined;
      let sent = 0;
      const transport = {
        replayable: true,
        send: (_endpoint: unknown, _envelope: unknown, listener: AttemptListener): Attempt => {
          const attempt: ScriptedAttempt = { written: false, cancel: () => undefined };
          scripts[sent]?.(attempt, listener, clock);
          sent += 1;
          return attempt;
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
    for (let call = 0; call < 30; call += 1) run([answerSoon]);
    return run([first, second]);
  }

  const cases = [
    { what: 'the first attempt broke', first: writeLateAndBreak, second: refuseLater },
    { what: 'the first attempt was under way', first: writeLate, second: neverWrite },
    { what: 'the second attempt broke', first: neverWrite, second: writeLateAndBreak },
  ];
  for (const { what, first, second } of cases) {
    it(`may have run where ${what} after it was written`, () => {
      const result = endOf(first, second);
      expect(result).to.have.nested.property('refusal.verdict', 'may-have-run');
    });
  }

  it('has not run where neither attempt was written', () => {
    const result = endOf(neverWrite, neverWrite);
    expect(result).to.have.nested.property('refusal.verdict', 'not-run');
  });
});
