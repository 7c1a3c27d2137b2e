/**
 * Guards against reporting a rejection by a target with free slots as overload: callers would send
 * less, and gates upstream would limit the kinds that lead there, while slots stay empty.
 */
import { expect } from 'chai';
import { NODE_CALL_HOOKS } from '../../src/gate/call-hooks.js';
import { InboundCall } from '../../src/gate/inbound-call.js';
import type { InboundResult } from '../../src/gate/inbound-services.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { AttemptListener } from '../../src/call/transport.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { NO_CLAIMS } from '../../src/dedup/no-claims.js';
import { slotAdmission } from '../support/slot-gate.js';

const SLOTS = 10;

describe('a call that the target turns away', () => {
  /**
   * Sends `running` calls to the target, which rejects the last one.
   * @returns the outcome of that call
   */
  function rejected(running: number): Outcome {
    const clock = new VirtualClock();
    const admission = slotAdmission(clock, SLOTS);
    const services = { clock, admission, claims: NO_CLAIMS, isLeaving: () => false };
    const listeners: AttemptListener[] = [];
    const transport = {
      send: (listener: AttemptListener) => {
        listeners.push(listener);
        return { written: true, cancel: () => undefined };
      },
    };
    const context = {
      requestId: 'q',
      group: 'targets',
      kind: 'check',
      importance: 1 as const,
      deadlineAt: 1_000,
      retries: 0,
    };
    const results: InboundResult[] = [];
    const start = (): InboundCall => {
      const listener = (result: InboundResult): number => results.push(result);
      const call = new InboundCall(
        context,
        undefined,
        services,
        transport,
        listener,
        NODE_CALL_HOOKS,
      );
      call.start();
      return call;
    };
    for (let each = 1; each < running; each += 1) start();
    const last = start();
    listeners.at(-1)!.onHead({ status: 503, fault: 'not-executed', outcome: undefined });
    const [result] = results;
    if (result?.type !== 'refused') throw new Error('the call was not refused');
    return last.takeOutcome(result.refusal.verdict, result.refusal.reason);
  }

  it('tells of no overload where the target has room', () => {
    const outcome = rejected(2);
    expect(outcome).to.include({ refusal: 'unavailable', overloaded: false, verdict: 'not-run' });
    expect(outcome.rejectedByTarget).to.equal(true);
  });

  it('tells of overload where the target is full', () => {
    expect(rejected(SLOTS)).to.include({ refusal: 'overload', overloaded: true });
  });
});
