import { expect } from 'chai';
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { Balancer } from '../../src/routing/balancer.js';
import type { EndpointRecord } from '../../src/call/endpoint.js';

const NOTHING_TRIED: ReadonlySet<string> = new Set();
const USUAL_MS = 20;

function endpoint(id: string, zone: string): EndpointRecord {
  const origin = `http://127.0.0.1:${7000 + Number(id.slice(1))}`;
  return { id, incarnation: 1, service: 'ledger', zone, origin, state: 'ready' };
}

/** A balancer with two endpoints in the caller's zone and two in another one. */
function balancer() {
  const clock = new VirtualClock();
  const made = new Balancer({
    clock,
    random: new SeededRandom(7),
    callerId: 'caller',
    callerZone: 'near',
    slowStartMs: () => 0,
  });
  made.update(['n1', 'n2'].map((id) => endpoint(id, 'near')));
  made.update([
    ...['n1', 'n2'].map((id) => endpoint(id, 'near')),
    endpoint('f3', 'far'),
    endpoint('f4', 'far'),
  ]);
  /** Sends calls one after the other. @returns the number of calls by endpoint */
  const send = (calls: number, latencyMs: (id: string) => number): Map<string, number> => {
    const counts = new Map<string, number>();
    for (let call = 0; call < calls; call += 1) {
      const pick = made.pick(NOTHING_TRIED, { trafficClass: 'read', priority: 1 })!;
      const { id } = pick.endpoint;
      counts.set(id, (counts.get(id) ?? 0) + 1);
      clock.advance(latencyMs(id));
      pick.end('answered', { refusal: undefined, load: { inFlight: 1, limit: 10 } });
    }
    return counts;
  };
  return { made, clock, send };
}

function part(counts: Map<string, number>, id: string): number {
  const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return (counts.get(id) ?? 0) / total;
}

describe('the choice of an endpoint', () => {
  it('stays in the zone while that has room and is as fast as usual', () => {
    const { send } = balancer();
    const counts = send(200, () => USUAL_MS);
    expect([...counts.keys()].sort()).to.deep.equal(['n1', 'n2']);
  });

  it('gives calls to an endpoint that has come back and reported nothing yet', () => {
    const { made, send } = balancer();
    send(100, () => USUAL_MS);
    made.update([endpoint('n1', 'near'), { ...endpoint('n2', 'near'), incarnation: 2 }]);
    expect(
      part(
        send(50, () => USUAL_MS),
        'n2',
      ),
    ).to.be.above(0.3);
  });

  it('gives an endpoint of the zone that has turned slow only few calls', () => {
    const { send } = balancer();
    send(100, () => USUAL_MS);
    const counts = send(200, (id) => (id === 'n1' ? 12 * USUAL_MS : USUAL_MS));
    expect(part(counts, 'n1')).to.be.below(0.15);
  });

  it('leaves the zone when all of it has turned slow', () => {
    const { send } = balancer();
    send(100, () => USUAL_MS);
    const counts = send(200, (id) => (id.startsWith('n') ? 12 * USUAL_MS : USUAL_MS));
    expect(part(counts, 'n1') + part(counts, 'n2')).to.be.below(0.25);
  });

  it('stays in a full zone while the others are as full, and leaves it when they have room', () => {
    const { made, clock } = balancer();
    const crossing = (farInFlight: number): number => {
      const counts = new Map<string, number>();
      for (let call = 0; call < 200; call += 1) {
        const pick = made.pick(NOTHING_TRIED, { trafficClass: 'read', priority: 1 })!;
        const { id, zone } = pick.endpoint;
        counts.set(id, (counts.get(id) ?? 0) + 1);
        clock.advance(USUAL_MS);
        const inFlight = zone === 'near' ? 12 : farInFlight;
        pick.end('answered', { refusal: undefined, load: { inFlight, limit: 10 } });
      }
      return part(counts, 'f3') + part(counts, 'f4');
    };
    expect(crossing(12)).to.be.below(0.1);
    expect(crossing(2)).to.be.above(0.5);
  });

  it('comes back to an endpoint that has recovered', () => {
    const { send, clock } = balancer();
    send(100, () => USUAL_MS);
    send(100, (id) => (id === 'n1' ? 12 * USUAL_MS : USUAL_MS));
    clock.advance(20_000);
    expect(
      part(
        send(200, () => USUAL_MS),
        'n1',
      ),
    ).to.be.above(0.3);
  });

  it('does not take a node that refuses at once for a fast one', () => {
    const { made, clock, send } = balancer();
    send(100, () => USUAL_MS);
    for (let call = 0; call < 100; call += 1) {
      const pick = made.pick(NOTHING_TRIED, { trafficClass: 'read', priority: 1 })!;
      const refuses = pick.endpoint.id === 'n1';
      clock.advance(refuses ? 1 : USUAL_MS);
      const load = { inFlight: refuses ? 10 : 1, limit: 10 };
      pick.end('answered', { refusal: refuses ? 'overload' : undefined, load });
    }
    expect(
      part(
        send(100, () => USUAL_MS),
        'n1',
      ),
    ).to.be.below(0.6);
  });
});
