import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { AnnouncingFleet, type ClientAnswer } from '../support/announcing-fleet.js';

const MACHINES = 4;
/** Those whose sidecars are not restarted. */
const OTHER_MACHINES = [1, 2, 3];
const LIMIT_PER_SECOND = 6;
const DEMAND_PER_SECOND = 80;
const RESTARTS = 5;
const RESTART_GAP_MS = 600;
/** Work that delays the answer in which a restarted process reads the limit, in milliseconds. */
const SLOW_MS = 1_500;
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
    expect(servedPart(answers), 'served while other targets have room').to.be.at.least(0.99);
  });

  // Guards against a restarted process that sends everything until the first answer tells it the limit.
  it('gets no more while the process beside it restarts again and again', async () => {
    const [limited] = fleet.targets;
    limited!.rateLimit = String(LIMIT_PER_SECOND);
    limited!.workMs = SLOW_MS;
    await fleet.sendFor(SETTLE_MS, DEMAND_PER_SECOND);
    const from = performance.now();
    const sending = fleet.sendFor(WINDOW_MS + 1_000, DEMAND_PER_SECOND, { to: OTHER_MACHINES });
    for (let restart = 0; restart < RESTARTS; restart += 1) {
      await sleep(RESTART_GAP_MS);
      await fleet.restart(0);
    }
    await sending;
    expect(limited!.mostArrivals(WINDOW_MS, from)).to.be.at.most(ALLOWED);
  });

  it('serves urgent requests first when all targets announce one', async () => {
    for (const target of fleet.targets) target.rateLimit = String(LIMIT_PER_SECOND);
    await fleet.sendFor(SETTLE_MS, DEMAND_PER_SECOND);
    const total = LIMIT_PER_SECOND * MACHINES;
    const [urgent, usual] = await Promise.all([
      fleet.sendFor(WINDOW_MS, total / 2, { route: 'urgent' }),
      fleet.sendFor(WINDOW_MS, 2 * total),
    ]);
    expect(servedPart(urgent), 'urgent requests').to.be.at.least(0.9);
    const served = [...urgent, ...usual].filter(({ status }) => status === 200).length;
    expect(served, 'requests in all').to.be.at.least((0.9 * total * WINDOW_MS) / 1_000);
    const refused = usual.filter(({ status }) => status === 503);
    expect(refused.length).to.be.above(0);
    for (const { retryAfterSeconds } of refused) expect(retryAfterSeconds).to.be.within(0.1, 10);
  });

  it('gets no more requests once it announces that it is leaving', async () => {
    const [leaving] = fleet.targets;
    const sending = fleet.sendFor(2_500, DEMAND_PER_SECOND);
    await sleep(500);
    leaving!.isLeaving = true;
    await sleep(500);
    const arrived = leaving!.arrivals.length;
    await fleet.restart(0);
    const answers = await sending;
    expect(leaving!.arrivals.length).to.equal(arrived);
    expect(servedPart(answers.slice(0, -DEMAND_PER_SECOND / MACHINES))).to.be.at.least(0.98);
  });
});

function servedPart(answers: readonly ClientAnswer[]): number {
  return answers.filter(({ status }) => status === 200).length / answers.length;
}
