import { expect } from 'chai';
import { ClientRequest, type RequestEnd } from '../../lab/simulator/sidecars/client-request.js';
import { DEEP_SEARCH_GRAPH } from '../../lab/simulator/sidecars/deep-search-graph.js';
import { RequestLineage } from '../../lab/simulator/sidecars/request-lineage.js';
import { SidecarWorld } from '../../lab/simulator/sidecars/sidecar-world.js';
import { SlotAccount, type SlotUse } from '../../lab/simulator/sidecars/slot-account.js';

const MS_PER_SECOND = 1_000;

function useOf(end: RequestEnd, clientAttempt: number, times: Partial<SlotUse>): SlotUse {
  const request = new ClientRequest('search', 0);
  request.end = end;
  return {
    service: 'ranker',
    call: 'lookup',
    lineage: new RequestLineage(false, request, clientAttempt),
    target: 0,
    waitedMs: 10,
    startedAt: 0,
    endedAt: 1_000,
    runEnd: 'answered',
    ...times,
  };
}

describe('the account of the slots of simulated targets', () => {
  it('sums the time within the window by what the slots were held for', () => {
    const account = new SlotAccount();
    account.record(useOf('late', 1, { startedAt: 500, endedAt: 3_000 }));
    account.record(useOf('late', 1, { startedAt: 1_000, endedAt: 1_500 }));
    account.record(useOf('late', 2, { startedAt: 1_000, endedAt: Infinity }));
    account.record(useOf('in-time', 1, { startedAt: 2_500 }));
    account.record(useOf('in-time', 1, { service: 'other' }));
    const shares = account.shares('ranker', 1_000, 2_000);
    expect(shares).to.deep.equal([
      {
        ...{ route: 'search', requestEnd: 'late', runEnd: 'answered', isLaterAttempt: false },
        ...{ slotSeconds: 1.5, runs: 2, waitedMs: 20 },
      },
      {
        ...{ route: 'search', requestEnd: 'late', runEnd: 'answered', isLaterAttempt: true },
        ...{ slotSeconds: 1, runs: 1, waitedMs: 10 },
      },
    ]);
  });

  it('has an end for each slot that a run has held, and for each request', () => {
    const world = new SidecarWorld(DEEP_SEARCH_GRAPH, 7);
    world.run([{ durationMs: 2_000, factor: 1.5 }]);
    const { uses } = world.slots;
    expect(uses.length).to.be.above(MS_PER_SECOND);
    for (const { startedAt, endedAt, lineage } of uses) {
      expect(endedAt).to.be.within(startedAt, world.clock.now());
      expect(lineage.request.end).to.not.equal('open');
      expect(lineage.request.route).to.not.equal('');
    }
    expect(world.running).to.equal(0);
  });
});
