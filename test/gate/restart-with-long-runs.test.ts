/**
 * Guards against a limit that grows only with answers: a gate that has just started would refuse
 * most requests with long runs for seconds, although slots are free.
 */
import { expect } from 'chai';
import { KindImpact } from '../../src/admission/kind-impact.js';
import { KindCircuitBreaker } from '../../src/admission/kind-circuit-breaker.js';
import { KindLimiter } from '../../src/admission/kind-limiter.js';
import type { CallContext } from '../../src/call/call-context.js';
import { CallKindLimit } from '../../src/gate/call-kind-limit.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';

const RUN_MS = 4_600;
const GAP_MS = 100;
const WATCHED_MS = 4_000;
/** Of the 40 requests that are sent before the first answer. */
const MIN_ADMITTED = 30;

describe('a process that has just started', () => {
  it('lets long runs in before the first of them is answered, while their calls are not held up', () => {
    const clock = new VirtualClock();
    const services = {
      clock,
      kindLimiter: new KindLimiter(clock),
      runOutcomes: new KindCircuitBreaker(),
      kindImpact: new KindImpact(clock),
      downstreamLevel: () => 0,
    };
    const context = { kind: 'read', importance: 2, objectiveMs: 3_000 } as CallContext;
    let admitted = 0;
    for (let at = 0; at < WATCHED_MS; at += GAP_MS) {
      const use = new CallKindLimit(services, { ...context, deadlineAt: clock.now() + 6_000 });
      if (use.acquire(false) === undefined) {
        admitted += 1;
        clock.schedule(RUN_MS, () => {
          use.onAnswer(200, RUN_MS);
          use.release();
        });
      }
      clock.advance(GAP_MS);
    }
    expect(admitted).to.be.at.least(MIN_ADMITTED);
  });
});
