import { expect } from 'chai';
import { CongestionLevel } from '../../src/admission/congestion-level.js';
import { GateCallHooks } from '../../src/gate/gate-call-hooks.js';
import { InboundCall } from '../../src/gate/inbound-call.js';
import type { AttemptListener } from '../../src/call/transport.js';
import { gateServices, oneSlotAdmission } from '../support/slot-gate.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { IMPORTANCE_COUNT, type Importance } from '../../src/policy/importance.js';

const WAIT_MS = 20;

describe('the congestion that an answer of a gate tells', () => {
  /**
   * Makes calls of importance `waiting` queue.
   * @returns the congestion reported with the answer to a call of importance `asked`
   */
  function afterWaiting(
    waiting: Importance,
    asked: Importance,
    isNested = true,
  ): number | undefined {
    const clock = new VirtualClock();
    const admission = oneSlotAdmission(clock);
    const queueLevels = Array.from({ length: IMPORTANCE_COUNT }, () => new CongestionLevel(clock));
    const services = { ...gateServices(clock, admission), queueLevels };
    const listeners: AttemptListener[] = [];
    const start = (importance: Importance): InboundCall => {
      const context = {
        requestId: 'q',
        group: 'g',
        kind: 'k',
        importance,
        deadlineAt: clock.now() + 10_000,
        retries: 0,
        service: 'ledger',
        waitUntil: clock.now() + 1_000,
      };
      const transport = {
        send: (listener: AttemptListener) => {
          listeners.push(listener);
          return { written: true, cancel: () => undefined };
        },
      };
      const options = { congestedAfterMs: WAIT_MS / 2, isNested };
      const rules = new GateCallHooks(services, context, options);
      const call = new InboundCall(context, undefined, services, transport, () => {}, rules);
      call.start();
      return call;
    };
    const finish = (): void => {
      const listener = listeners.shift()!;
      listener.onHead({ status: 200, outcome: undefined });
      listener.onEnd();
    };
    start(waiting);
    for (let call = 0; call < 100; call += 1) {
      start(waiting);
      clock.advance(WAIT_MS);
      finish();
    }
    finish();
    const call = start(asked);
    return call.takeOutcome('ran', undefined).congestion;
  }

  it('is that of the calls of its importance', () => {
    expect(afterWaiting(1, 1)).to.be.above(0.9);
  });

  it('is none for a request of a client, which has cost nothing when it is refused here', () => {
    expect(afterWaiting(1, 1, false)).to.equal(0);
  });

  it('is none for urgent calls, which pass those that wait', () => {
    expect(afterWaiting(1, 2)).to.equal(0);
  });
});
