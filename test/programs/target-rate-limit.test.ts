import { expect } from 'chai';
import { AnnouncingFleet } from '../support/announcing-fleet.js';

const MACHINES = 4;
const LIMIT_PER_SECOND = 6;
const DEMAND_PER_SECOND = 80;
/** Window in which arrivals are counted, in milliseconds. */
const WINDOW_MS = 4_000;
/** Arrivals allowed in a window: a tenth above the limit, and a fixed number. */
const ALLOWED = 1.1 * LIMIT_PER_SECOND * (WINDOW_MS / 1_000) + 5;
/** Time for the limit to take effect, in milliseconds. */
const SETTLE_MS = 500;

describe('a target that announces a rate limit', function () {
  this.timeout(40_000);
  let fleet: AnnouncingFleet;

  beforeEach(async () => {
    fleet = await AnnouncingFleet.start(MACHINES);
  });

  afterEach(() => fleet.stop());

  // Guards against a limit that no process reads: the target got its full share of all requests.
  it('gets no more requests than that from all machines together', async () => {
    const [limited] = fleet.targets;
    limited!.rateLimit = String(LIMIT_PER_SECOND);
    await fleet.sendFor(SETTLE_MS, DEMAND_PER_SECOND);
    const from = performance.now();
    const answers = await fleet.sendFor(WINDOW_MS + 1_000, DEMAND_PER_SECOND);
    expect(limited!.mostArrivals(WINDOW_MS, from)).to.be.at.most(ALLOWED);
    const served = answers.filter(({ status }) => status === 200).length / answers.length;
    expect(served, 'served while other targets have room').to.be.at.least(0.99);
  });
});
