/**
 * Guards against sending a full share of the calls to a slow endpoint none of whose calls is answered before its deadline:
 * a cancelled call gives a lower bound of the latency, which must count.
 */
import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { Balancer } from '../../src/routing/balancer.js';
import type { EndpointRecord, EndpointResult } from '../../src/call/endpoint.js';
import type { RefusalReason } from '../../src/call/refusal.js';

const USUAL_MS = 20;
const DEADLINE_MS = 200;
const CALLS = 200;
const MAX_PART = 0.15;

function endpoint(id: string): EndpointRecord {
  return { id, incarnation: 1, service: 'ledger', zone: 'near', origin: id, state: 'ready' };
}

/** Sends calls to two endpoints, of which `first` ends its calls as given. @returns the fraction that `first` got */
function partOfFirst(ms: number, result: EndpointResult, refusal?: RefusalReason): number {
  const clock = new VirtualClock();
  const balancer = new Balancer({
    clock,
    random: new SeededRandom(7),
    callerId: 'caller',
    callerZone: 'near',
    slowStartMs: () => 0,
  });
  balancer.update([endpoint('first'), endpoint('second')]);
  let toFirst = 0;
  for (let call = 0; call < 2 * CALLS; call += 1) {
    const pick = balancer.pick(new Set(), { trafficClass: 'read', priority: 1 })!;
    const isTroubled = call >= CALLS && pick.endpoint.id === 'first';
    if (isTroubled) toFirst += 1;
    clock.advance(isTroubled ? ms : USUAL_MS);
    const load = { inFlight: 1, limit: 10 };
    if (isTroubled) pick.end(result, { refusal, load });
    else pick.end('answered', { refusal: undefined, load });
  }
  return toFirst / CALLS;
}

describe('calls that are not answered', () => {
  it('tell that an endpoint is slow, where the caller gives them up', () => {
    expect(partOfFirst(DEADLINE_MS, 'cancelled')).to.be.below(MAX_PART);
  });

  it('tell so where the gate gives them up', () => {
    expect(partOfFirst(DEADLINE_MS, 'answered', 'deadline')).to.be.below(MAX_PART);
  });

  it('keep further ones away from an endpoint whose gate says that its target is not available', () => {
    expect(partOfFirst(1, 'answered', 'unavailable')).to.be.below(MAX_PART);
  });

  it('tell nothing where they are given up sooner than answers come', () => {
    expect(partOfFirst(1, 'cancelled')).to.be.above(MAX_PART);
  });
});
