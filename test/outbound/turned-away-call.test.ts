/** A gate whose target is slowed down turns calls away that may run once: the refusal must not reach the client. */
import { expect } from 'chai';
import { OverloadThrottle } from '../../src/admission/overload-throttle.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import type { Outcome } from '../../src/call/outcome.js';
import type { Attempt, AttemptListener, AttemptMetadata } from '../../src/call/transport.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { OutboundCall } from '../../src/outbound/outbound-call.js';
import type { OutboundResult } from '../../src/outbound/outbound-request.js';
import { RetryAllowance } from '../../src/retry/retry-allowance.js';
import { UNLIMITED_RETRIES } from '../../src/retry/retry-budget.js';
import { oneZoneBalancer } from '../support/one-zone-balancer.js';

const ANSWERED: Outcome = {
  verdict: 'ran',
  refusal: undefined,
  overloaded: false,
  unspentRetries: 0,
  load: { inFlight: 1, limit: 10 },
};
const OVERLOADED: Outcome = {
  ...ANSWERED,
  verdict: 'not-run',
  refusal: 'overload',
  overloaded: true,
};
const TURNED_AWAY: Outcome = { ...ANSWERED, verdict: 'not-run', refusal: 'target-slowed' };

interface Sent {
  readonly id: string;
  readonly isReroutable: boolean | undefined;
}

interface Options {
  readonly repeatable?: boolean;
  readonly nodes?: number;
  readonly inFlight?: number;
  /** Outcomes of the attempts that may not be turned away; answered by default. */
  readonly others?: readonly Outcome[];
}

/** Makes a call before gates that turn away each attempt whose caller allows it. */
function call(options: Options = {}) {
  const others = [...(options.others ?? [])];
  const clock = new VirtualClock();
  const balancer = oneZoneBalancer(clock, new SeededRandom(3), options.nodes ?? 3);
  const priority = { trafficClass: 'accept', priority: 2 };
  for (let each = 0; each < 30; each += 1) {
    const load = { inFlight: options.inFlight ?? 1, limit: 10 };
    balancer.pick(new Set(), priority)!.end('answered', { refusal: undefined, load });
  }
  const sent: Sent[] = [];
  let result: OutboundResult | undefined;
  const transport = {
    replayable: true,
    send: ({ id }: EndpointRecord, envelope: AttemptMetadata, to: AttemptListener): Attempt => {
      const { isReroutable } = envelope;
      sent.push({ id, isReroutable });
      const outcome = isReroutable === true ? TURNED_AWAY : (others.shift() ?? ANSWERED);
      clock.schedule(1, () => {
        if (to.onHead({ status: 200, outcome }) === 'relay') to.onEnd();
      });
      return { written: true, cancel: () => undefined };
    },
  };
  const throttle = new OverloadThrottle(new SeededRandom(4));
  const services = { clock, balancer, throttle, budget: UNLIMITED_RETRIES };
  const { repeatable = false } = options;
  const allowance = new RetryAllowance(0);
  const request = {
    ...priority,
    repeatable,
    deadlineAt: 1_000,
    retryRatio: 0,
    allowance,
    overloadReroutes: 1,
  };
  new OutboundCall(request, services, transport, (ended) => (result = ended)).start();
  clock.advance(50);
  return { sent, result };
}

describe('a call that may be turned away', () => {
  it('is sent to other targets without a retry, the third of which may not turn it away', () => {
    const { sent, result } = call();
    expect(result?.type).to.equal('relayed');
    expect(sent.map(({ isReroutable }) => isReroutable)).to.deep.equal([true, true, false]);
    expect(new Set(sent.map(({ id }) => id)).size).to.equal(3);
  });

  it('goes back to the gate that turned it away if no other target runs it', () => {
    const { sent, result } = call({ nodes: 2, others: [OVERLOADED] });
    expect(result?.type).to.equal('relayed');
    expect(sent.map(({ isReroutable }) => isReroutable)).to.deep.equal([true, false, false]);
    expect(sent[2]!.id).to.equal(sent[0]!.id);
  });

  it('goes back at most once', () => {
    const { sent, result } = call({ nodes: 2, others: [OVERLOADED, OVERLOADED, OVERLOADED] });
    expect(result?.type).to.equal('refused');
    expect(sent).to.have.length(3);
  });

  // Refused after both: the turn away had used up the reroute that a refusal for overload leaves.
  it('can still be rerouted after a refusal for overload', () => {
    const { sent, result } = call({ nodes: 4, others: [OVERLOADED] });
    expect(result?.type).to.equal('relayed');
    expect(new Set(sent.map(({ id }) => id)).size).to.equal(4);
  });

  for (const [name, options] of Object.entries({
    'it may be repeated': { repeatable: true },
    'there is no other target': { nodes: 1 },
    'the others are full': { inFlight: 9 },
  })) {
    it(`does not exist where ${name}`, () => {
      const { sent, result } = call(options);
      expect(result?.type).to.equal('relayed');
      expect(sent.map(({ isReroutable }) => isReroutable)).to.deep.equal([false]);
    });
  }
});
