import { expect } from 'chai';
import { simRoute, type CallGraph } from '../../lab/simulator/sidecars/call-graph.js';
import { SidecarWorld } from '../../lab/simulator/sidecars/sidecar-world.js';
import { mostInWindow } from '../support/most-in-window.js';

const SEED = 49;
const WINDOW_MS = 4_000;
const RUN_MS = 20_000;
const SETTLE_MS = 5_000;
const LIMIT_PER_SECOND = 7.4;
/** Usual demand for each target of the ledger, in requests a second. */
const DEMAND_PER_TARGET = 20;

function allowedArrivals(perSecond: number): number {
  return (1.1 * perSecond * WINDOW_MS) / 1_000 + 5;
}

/** A service `ledger` that all sidecars call, and sidecars of another service as further ingresses. */
function graph(targets: number, ingresses: number, demand = DEMAND_PER_TARGET): CallGraph {
  const route = (name: string, rank: number, perSecond: number) =>
    simRoute({
      name,
      service: 'ledger',
      rank,
      repeatable: true,
      objectiveMs: 1_000,
      timeoutMs: 2_000,
      deadlineMs: 2_000,
      workMs: 50,
      perSecond,
      nested: [],
    });
  const service = { slots: 64, workFactors: [1] };
  return {
    services: [
      { name: 'ledger', targets, ...service },
      { name: 'front', targets: Math.max(0, ingresses - targets), ...service },
    ],
    routes: [route('urgent', 0, targets * 4), route('usual', 2, targets * (demand - 4))],
  };
}

interface Counts {
  sent: number;
  served: number;
}

/** Runs with a limit at some targets of the ledger. @returns the requests of each route after the limits have settled */
function run(world: SidecarWorld, limited: readonly number[], perSecond = LIMIT_PER_SECOND) {
  for (const index of limited) world.sidecar(`ledger-${index}`).announceLimit(perSecond);
  const [, results] = world.run([
    { durationMs: SETTLE_MS, factor: 1 },
    { durationMs: RUN_MS, factor: 1 },
  ]);
  const counts = (route: string): Counts => {
    const { sent, inTime, late } = results!.get(route)!;
    return { sent, served: inTime + late };
  };
  return { urgent: counts('urgent'), usual: counts('usual') };
}

function arrivalsAt(world: SidecarWorld, index: number): number[] {
  const { arrivalTimes } = world.sidecar(`ledger-${index}`);
  return arrivalTimes.filter((at) => at >= SETTLE_MS && at < SETTLE_MS + RUN_MS);
}

function indexes(from: number, until: number): number[] {
  return Array.from({ length: until - from }, (_, each) => from + each);
}

describe('the rate limits of targets, in virtual time', function () {
  this.timeout(60_000);

  for (const ingresses of [4, 10, 100]) {
    it(`are kept and used, and the other targets serve the rest, with ${ingresses} ingresses`, () => {
      const world = new SidecarWorld(graph(4, ingresses), SEED);
      const { urgent, usual } = run(world, [0]);
      const arrivals = arrivalsAt(world, 0);
      expect(mostInWindow(arrivals, WINDOW_MS)).to.be.at.most(allowedArrivals(LIMIT_PER_SECOND));
      expect(arrivals.length).to.be.at.least((0.9 * LIMIT_PER_SECOND * RUN_MS) / 1_000);
      expect(urgent.served + usual.served).to.be.at.least(0.99 * (urgent.sent + usual.sent));
    });
  }

  it('at all targets leave room to urgent requests first', () => {
    const world = new SidecarWorld(graph(4, 10), SEED);
    const { urgent, usual } = run(world, indexes(0, 4));
    for (const index of indexes(0, 4)) {
      const arrivals = arrivalsAt(world, index);
      expect(mostInWindow(arrivals, WINDOW_MS)).to.be.at.most(allowedArrivals(LIMIT_PER_SECOND));
      expect(arrivals.length).to.be.at.least((0.9 * LIMIT_PER_SECOND * RUN_MS) / 1_000);
    }
    expect(urgent.served / urgent.sent, 'urgent').to.be.at.least(0.95);
    expect(usual.served).to.be.above(0);
  });

  it('at all but one of many targets keep no request from that one', () => {
    const world = new SidecarWorld(graph(30, 60, 6), SEED);
    const { urgent, usual } = run(world, indexes(1, 30), 5);
    expect(urgent.served + usual.served).to.be.at.least(0.99 * (urgent.sent + usual.sent));
  });

  it('cost nothing after they are lifted', () => {
    const world = new SidecarWorld(graph(4, 10), SEED);
    for (const index of indexes(0, 4)) world.sidecar(`ledger-${index}`).announceLimit(1);
    world.clock.schedule(SETTLE_MS, () => {
      for (const index of indexes(0, 4)) world.sidecar(`ledger-${index}`).announceLimit(undefined);
    });
    const results = world.run([
      { durationMs: SETTLE_MS, factor: 1 },
      { durationMs: 5_000, factor: 1 },
      { durationMs: RUN_MS, factor: 1 },
    ]);
    const { sent, inTime } = results[2]!.get('usual')!;
    expect(inTime / sent).to.be.at.least(0.99);
  });
});
