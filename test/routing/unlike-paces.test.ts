/** Failures while callers prefer the fast targets of a service: a crash, a new process at the gate, a new target. */
import { expect } from 'chai';
import type { EndpointRecord } from '../../src/call/endpoint.js';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { Balancer, type EndpointPick } from '../../src/routing/balancer.js';

const FAST_MS = 100;
const SLOW_MS = 250;
const LONG_RUN_RATIO = 7;
const MUST_FIT_MS = 1_000;
const FAST: readonly string[] = ['n0', 'n1'];
const CALLS = 200;
const REQUEST = { trafficClass: 'accept', priority: 1, mustFitMs: MUST_FIT_MS };

function record(id: string, incarnation = 1): EndpointRecord {
  return { id, incarnation, service: 'offers', zone: 'a', origin: `http://${id}`, state: 'ready' };
}

describe('calls that must fit their time, where half of the targets are too slow', () => {
  const RECORDS = ['n0', 'n1', 'n2', 'n3'].map((id) => record(id));
  let clock: VirtualClock;
  let balancer: Balancer;

  function pick(): EndpointPick {
    return balancer.pick(new Set(), REQUEST)!;
  }

  /** Sends calls one after the other. @returns the number of calls by endpoint */
  function send(calls: number, reportsPace: (id: string) => boolean): Map<string, number> {
    const counts = new Map<string, number>();
    for (let call = 0; call < calls; call += 1) {
      const picked = pick();
      const { id } = picked.endpoint;
      counts.set(id, (counts.get(id) ?? 0) + 1);
      const usualMs = FAST.includes(id) ? FAST_MS : SLOW_MS;
      clock.advance(usualMs);
      const kindPace = { usualMs, longMs: LONG_RUN_RATIO * usualMs };
      const load = { inFlight: 1, limit: 40, ...(reportsPace(id) && { kindPace }) };
      picked.end('answered', { refusal: undefined, load });
    }
    return counts;
  }

  beforeEach(() => {
    clock = new VirtualClock();
    balancer = new Balancer({
      clock,
      random: new SeededRandom(7),
      callerId: 'caller',
      callerZone: 'a',
      slowStartMs: () => 0,
    });
    balancer.update(RECORDS);
    send(CALLS, () => true);
  });

  it('go to the fast ones, also after the processes of their gates have lost the pace', () => {
    expect([...send(CALLS, () => true).keys()].sort()).to.deep.equal(FAST);
    expect([...send(CALLS, (id) => !FAST.includes(id)).keys()].sort()).to.deep.equal(FAST);
  });

  it('go to the slow ones as soon as the fast ones have crashed', () => {
    for (const id of FAST) balancer.markLeaving(record(id));
    expect([...send(CALLS, () => true).keys()].sort()).to.deep.equal(['n2', 'n3']);
  });

  it('are tried a little at a new target, until its pace is known', () => {
    balancer.update(RECORDS.map((each) => (each.id === 'n3' ? record('n3', 2) : each)));
    const calls = send(CALLS, (id) => id !== 'n3').get('n3')!;
    expect(calls).to.be.within(0.02 * CALLS, 0.15 * CALLS);
    send(CALLS, () => true);
    expect(send(CALLS, () => true).has('n3')).to.equal(false);
  });
});
