/**
 * Guards against refusals of urgent requests by the limit of their kind while first hops refuse less urgent ones, so that
 * the service below has room for the urgent ones.
 */
import { expect } from 'chai';
import type { PathBottlenecks } from '../../src/admission/path-bottlenecks.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { GateCallHooks } from '../../src/gate/gate-call-hooks.js';
import type { Importance } from '../../src/policy/importance.js';
import { gateServices, slotAdmission } from '../support/slot-gate.js';

const SLOTS = 1_000;
const ATTEMPTS = 50;
const TOLD = { service: 'quoter', pressure: 1.5 };

/** Requests of a new kind that enter the gate, of {@link ATTEMPTS} at once. */
function entered(importance: Importance, favoured: Importance, isTold: boolean): number {
  const clock = new VirtualClock();
  const bottlenecks = {
    isAnyDownstream: isTold,
    bottleneckOf: () => (isTold ? TOLD : undefined),
  } as unknown as PathBottlenecks;
  const services = {
    ...gateServices(clock, slotAdmission(clock, SLOTS)),
    bottlenecks,
    isFavoured: (service: string, each: Importance) => service === TOLD.service && each >= favoured,
  };
  const context = {
    requestId: 'q',
    group: 'clients',
    kind: 'accept',
    importance,
    deadlineAt: 10_000,
    objectiveMs: 1_000,
    retries: 0,
  };
  let count = 0;
  for (let each = 0; each < ATTEMPTS; each += 1) {
    const hooks = new GateCallHooks(services, context, { isNested: false, congestedAfterMs: 100 });
    if (hooks.acquireKindLimit() === undefined) count += 1;
  }
  return count;
}

describe('the limit of a kind while a service below is told as a bottleneck', () => {
  it('does not apply to ranks in whose favour first hops refuse others', () => {
    expect(entered(2, 2, true)).to.equal(ATTEMPTS);
    expect(entered(1, 2, true)).to.be.below(ATTEMPTS);
  });

  it('does not apply to the highest importance, whatever is known of the ranks here', () => {
    expect(entered(3, 4 as Importance, true)).to.equal(ATTEMPTS);
  });

  it('applies to all while none is told', () => {
    expect(entered(3, 0, false)).to.be.below(ATTEMPTS);
  });
});
