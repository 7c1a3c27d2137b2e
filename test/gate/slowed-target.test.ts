import { expect } from 'chai';
import type { AttemptListener } from '../../src/call/transport.js';
import type { Outcome } from '../../src/call/outcome.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { GateCallHooks } from '../../src/gate/gate-call-hooks.js';
import { InboundCall } from '../../src/gate/inbound-call.js';
import type { GateServices, InboundResult } from '../../src/gate/inbound-services.js';
import { gateServices, slotAdmission } from '../support/slot-gate.js';

const RUN_MS = 300;
const TIMEOUT_MS = 500;
const RUNS = 20;

describe('a gate whose target is slowed down', () => {
  let clock: VirtualClock;
  let services: GateServices;

  beforeEach(() => {
    clock = new VirtualClock();
    services = gateServices(clock, slotAdmission(clock, 100));
    for (let run = 0; run < RUNS; run += 1) {
      expect(call(false, 1)?.load?.kindPace === undefined).to.equal(run < 7);
    }
    report(2.5);
  });

  function report(slowdown: number): void {
    services.targetLoad.onReport({ running: 1, waiting: 0, slots: 100, slowdown });
  }

  /** Makes a call. @returns the outcome that its caller gets */
  function call(isReroutable: boolean, slowdown: number): Outcome | undefined {
    const transport = {
      send: (listener: AttemptListener) => {
        clock.schedule(RUN_MS, () => {
          report(slowdown);
          listener.onHead({ status: 200, outcome: undefined });
          listener.onEnd();
        });
        return { written: true, cancel: () => undefined };
      },
    };
    const context = {
      requestId: 'q',
      group: 'clients',
      kind: 'accept',
      importance: 1 as const,
      deadlineAt: clock.now() + TIMEOUT_MS,
      retries: 0,
      isReroutable,
    };
    const hooks = new GateCallHooks(services, context, { isNested: false, congestedAfterMs: 100 });
    let outcome: Outcome | undefined;
    const onResult = (result: InboundResult): void => {
      const { reason, verdict } =
        result.type === 'refused' ? result.refusal : { reason: undefined, verdict: 'ran' as const };
      outcome = inbound.takeOutcome(verdict, reason);
    };
    const inbound: InboundCall = new InboundCall(
      context,
      undefined,
      services,
      transport,
      onResult,
      hooks,
    );
    inbound.start();
    if (outcome === undefined) clock.advance(RUN_MS);
    return outcome;
  }

  it('turns away the calls that can go elsewhere, and reports them as not run', () => {
    const { refusal, verdict, overloaded, load } = call(true, 2.5)!;
    expect({ refusal, verdict, overloaded }).to.deep.equal({
      refusal: 'target-slowed',
      verdict: 'not-run',
      overloaded: false,
    });
    expect(load!.kindPace).to.deep.equal({ usualMs: RUN_MS, longMs: RUN_MS });
  });

  it('runs the others, and all again once the target has its usual speed', () => {
    expect(call(false, 1)!.refusal).to.equal(undefined);
    expect(call(true, 1)!.refusal).to.equal(undefined);
  });
});
