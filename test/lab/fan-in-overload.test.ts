/**
 * Guards the division of a small service between several routes under overload. At 2.4 times the normal load,
 * its slots suffice for 0.44 of the least important route after the others.
 */
import { expect } from 'chai';
import { FAN_IN_GRAPH } from '../../lab/simulator/sidecars/fan-in-graph.js';
import { SidecarWorld, type RouteResult } from '../../lab/simulator/sidecars/sidecar-world.js';

const CALM = { durationMs: 5_000, factor: 0.8 };
const ONSET = { durationMs: 3_000, factor: 2.4 };
const OVERLOAD = { durationMs: 8_000, factor: 2.4 };
const EXTREME = { durationMs: 8_000, factor: 3 };
const FIRST_SECOND = { durationMs: 1_000, factor: 1.25 };
const NEXT_SECONDS = { durationMs: 4_000, factor: 1.25 };
const SEED = 1;

type Results = Map<string, RouteResult>;

function inTime({ sent, inTime: answered }: RouteResult): number {
  return answered / sent;
}

describe('sidecars before a small service that several kinds need', function () {
  this.timeout(60_000);
  let onset: Results;
  let overload: Results;
  let extreme: Results;

  before(() => {
    const phases = new SidecarWorld(FAN_IN_GRAPH, SEED).run([CALM, ONSET, OVERLOAD, EXTREME]);
    [, onset, overload, extreme] = phases as [Results, Results, Results, Results];
  });

  it('finish the urgent kind', () => {
    for (const phase of [onset, overload]) expect(inTime(phase.get('order')!)).to.be.above(0.95);
  });

  it('finish the urgent kind also where it needs nearly all that there is', () => {
    expect(inTime(extreme.get('order')!)).to.be.above(0.97);
  });

  it('leave the kind that needs the small service itself its share', () => {
    for (const phase of [onset, overload]) expect(inTime(phase.get('reprint')!)).to.be.above(0.9);
  });

  it('answer in time what they let in of the least urgent kind, from the first seconds on', () => {
    expect(inTime(onset.get('browse')!)).to.be.above(0.3);
    expect(inTime(overload.get('browse')!)).to.be.above(0.35);
  });

  it('serve the urgent kind soon after they all start, before a service that has lost a target', () => {
    const services = FAN_IN_GRAPH.services.map((service) =>
      service.name === 'stock' ? { ...service, targets: 2 } : service,
    );
    const world = new SidecarWorld({ ...FAN_IN_GRAPH, services }, SEED);
    const [, next] = world.run([FIRST_SECOND, NEXT_SECONDS]) as [Results, Results];
    expect(inTime(next.get('order')!)).to.be.above(0.8);
  });
});
