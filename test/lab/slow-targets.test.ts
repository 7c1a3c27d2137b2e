/**
 * Guards against calls that are sent to slow targets again and again: a target that answers none of its calls before
 * their deadlines gives its callers no latency to compare, so requests that may run only once kept failing.
 */
import { expect } from 'chai';
import { DEEP_SEARCH_GRAPH } from '../../lab/simulator/sidecars/deep-search-graph.js';
import { SidecarWorld } from '../../lab/simulator/sidecars/sidecar-world.js';

const FACTOR = 0.45;
const CALM = { durationMs: 4_000, factor: FACTOR };
const SLOW = { rejectedPart: 0, lostPart: 0, slowPart: 0.4, slowFactor: 12 };
const FAULTS = Object.fromEntries(DEEP_SEARCH_GRAPH.services.map(({ name }) => [name, SLOW]));
/** Long enough to detect the slow targets: two runs up to their deadline. */
const FOUND_OUT = { durationMs: 4_000, factor: FACTOR, faults: FAULTS };
const STILL_SLOW = { durationMs: 5_000, factor: FACTOR, faults: FAULTS };
const WELL_AGAIN = { durationMs: 2_000, factor: FACTOR };
const SEEDS = [1, 2, 3];
/** The other targets have enough slots for all requests of the most urgent kind. */
const MIN_ANSWERED_PART = 0.75;
const MIN_AFTERWARDS = 0.95;

describe('sidecars while many targets are slow', function () {
  this.timeout(60_000);
  for (const seed of SEEDS) {
    it(`send what may run once alone to the others (seed ${seed})`, () => {
      const world = new SidecarWorld(DEEP_SEARCH_GRAPH, seed);
      const [, , slow, after] = world.run([CALM, FOUND_OUT, STILL_SLOW, WELL_AGAIN]);
      const during = slow!.get('repo-register')!;
      expect(during.inTime / during.sent).to.be.above(MIN_ANSWERED_PART);
      const again = after!.get('repo-register')!;
      expect(again.inTime / again.sent).to.be.above(MIN_AFTERWARDS);
    });
  }
});
