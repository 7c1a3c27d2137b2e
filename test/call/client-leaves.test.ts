/** Guards against targets that keep working, at any depth of the call chain, after the client has disconnected. */
import { expect } from 'chai';
import { chainGraph, chainService } from '../../lab/simulator/sidecars/chain-graph.js';
import { RequestLineage } from '../../lab/simulator/sidecars/request-lineage.js';
import { SidecarWorld } from '../../lab/simulator/sidecars/sidecar-world.js';
import { SeededRandom } from '../../src/common/random.js';

const REQUESTS = 250;
const REQUEST_INTERVAL_MS = 2;
/** Long enough for clients to disconnect while the request is at any hop. */
const MAX_CLIENT_WAIT_PER_HOP_MS = 1_000;
/** Processing time of each target: without cancellation it would go on long after the client has disconnected. */
const WORK_MS = 3_000;
const CANCELLATION_BOUND_MS = 500;
const CLIENT_TIMEOUT_MS = 5_000;

describe('clients that leave', () => {
  for (const depth of [1, 2, 3, 4]) {
    it(`leave no target at work half a second later, ${depth} services deep`, () => {
      const world = new SidecarWorld(chainGraph({ depth, perSecond: 100, workMs: WORK_MS }), depth);
      const maxClientWaitMs = depth * MAX_CLIENT_WAIT_PER_HOP_MS;
      const random = new SeededRandom(depth);
      const ingress = world.sidecar(`${chainService(0)}-0`);
      const route = world.route('route-0');
      let mostRunning = 0;
      let answered = 0;
      for (let request = 0; request < REQUESTS; request += 1) {
        const lineage = new RequestLineage(false);
        const call = ingress.ingress(route, CLIENT_TIMEOUT_MS, lineage, () => (answered += 1));
        world.clock.schedule(1 + random.next() * maxClientWaitMs, () => call.cancel());
        world.clock.advance(REQUEST_INTERVAL_MS);
        mostRunning = Math.max(mostRunning, world.running);
      }
      expect(mostRunning).to.be.above(10);
      expect(answered).to.be.below(REQUESTS);
      world.clock.advance(maxClientWaitMs);
      world.clock.advance(CANCELLATION_BOUND_MS);
      expect(world.running).to.equal(0);
    });
  }
});
