/**
 * Replays a shortage of seconds at the deepest of four services, while the ones above it have room: demand rises within an
 * instant to 1.5 times what the deepest one bears. Most of its work is for the lowest rank, so the others need lose nothing.
 */
import { expect } from 'chai';
import type { CallGraph } from '../../lab/simulator/sidecars/call-graph.js';
import { QUOTE_GRAPH } from '../../lab/simulator/sidecars/quote-graph.js';
import { SidecarWorld, type RouteResult } from '../../lab/simulator/sidecars/sidecar-world.js';
import { TICKET_GRAPH } from '../../lab/simulator/sidecars/ticket-graph.js';

const CALM = { durationMs: 2_000, factor: 1 };
const AFTER = { durationMs: 2_000, factor: 1 };
const SHORTAGE_MS = 4_000;
const SEED = 1;
/** Worth of an answer in time, by rank. */
const WORTH = [3, 2, 1] as const;

type Results = ReadonlyMap<string, RouteResult>;

interface Play {
  readonly shortage: Results;
  readonly after: Results;
}

function play(graph: CallGraph, factor: number, firstHopRoom: boolean): Play {
  const world = new SidecarWorld(graph, SEED, { firstHopRoom });
  const shortageAt = { durationMs: SHORTAGE_MS, factor };
  const [, shortage, after] = world.run([CALM, shortageAt, AFTER]) as [
    Map<string, RouteResult>,
    Map<string, RouteResult>,
    Map<string, RouteResult>,
  ];
  return { shortage, after };
}

function inTimePart({ sent, inTime }: RouteResult): number {
  return inTime / sent;
}

function refusedPart({ sent, refused }: RouteResult): number {
  return refused / sent;
}

/** Worth of the answers in time as a part of the worth of all requests. */
function worth(graph: CallGraph, results: Results): number {
  let earned = 0;
  let possible = 0;
  for (const { route } of graph.routes) {
    const result = results.get(route.name);
    if (result === undefined) continue;
    const each = WORTH[route.rank as 0 | 1 | 2];
    earned += each * result.inTime;
    possible += each * result.sent;
  }
  return earned / possible;
}

describe('a shortage at the deepest service of a quote deployment', function () {
  this.timeout(120_000);
  let without: Play;
  let withRoom: Play;

  before(() => {
    without = play(QUOTE_GRAPH, 2.9, false);
    withRoom = play(QUOTE_GRAPH, 2.9, true);
  });

  it('costs the most urgent ranks nothing but the tail of their work', () => {
    for (const route of ['quote-accept', 'deposit-hold']) {
      expect(inTimePart(withRoom.shortage.get(route)!)).to.be.above(0.95);
      expect(refusedPart(withRoom.shortage.get(route)!)).to.be.below(0.01);
    }
    expect(refusedPart(without.shortage.get('quote-accept')!)).to.be.above(0.02);
  });

  it('is over with the demand', () => {
    expect(inTimePart(withRoom.after.get('sheet-view')!)).to.be.above(0.9);
  });

  it('leaves more worth than without room at the first hop', () => {
    const earned = worth(QUOTE_GRAPH, withRoom.shortage);
    expect(earned).to.be.above(worth(QUOTE_GRAPH, without.shortage));
  });
});

describe('a shortage at the deepest service of a ticket deployment', function () {
  this.timeout(120_000);
  let without: Play;
  let withRoom: Play;

  before(() => {
    without = play(TICKET_GRAPH, 2, false);
    withRoom = play(TICKET_GRAPH, 2, true);
  });

  it('costs the lowest rank before the middle one', () => {
    const refusedTrips = refusedPart(withRoom.shortage.get('trip')!);
    expect(refusedTrips).to.be.below(refusedPart(without.shortage.get('trip')!) / 2);
    expect(inTimePart(withRoom.shortage.get('ticket')!)).to.be.above(0.95);
  });

  it('leaves more worth than without room at the first hop', () => {
    const earned = worth(TICKET_GRAPH, withRoom.shortage);
    expect(earned).to.be.above(worth(TICKET_GRAPH, without.shortage));
  });
});
