/**
 * Guards against gates of a large fleet that, right after a simultaneous start, refuse nested calls because they
 * apply the initial limit for client requests to kinds they have not yet observed.
 */
import { expect } from 'chai';
import { LARGE_SEARCH_GRAPH } from '../../lab/simulator/sidecars/large-search-graph.js';
import { SidecarWorld, type RouteResult } from '../../lab/simulator/sidecars/sidecar-world.js';

const START = { durationMs: 1_000, factor: 1 };
const SEEDS = [1, 2];
const MAX_FAILED_PART = 0.01;

function failedPart({ sent, failed }: RouteResult): number {
  return failed / sent;
}

describe('sidecars of a large fleet that start together', function () {
  this.timeout(60_000);
  for (const seed of SEEDS) {
    it(`fail no request for calls that gates do not know yet (seed ${seed})`, () => {
      const [first] = new SidecarWorld(LARGE_SEARCH_GRAPH, seed).run([START]);
      for (const route of ['repo-register', 'code-query']) {
        expect(failedPart(first!.get(route)!)).to.be.below(MAX_FAILED_PART);
      }
    });
  }
});
