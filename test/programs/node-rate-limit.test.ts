import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { Program } from '../../src/programs/program.js';
import { AnnouncingTarget } from '../support/announcing-target.js';
import { frontPolicy } from '../support/front-policy.js';
import {
  Cleanup,
  operatorClient,
  startTestControl,
  startTestEdge,
  startTestNode,
  until,
  untilReady,
} from '../support/processes.js';

const LIMIT_PER_SECOND = 6;
const WINDOW_MS = 4_000;
const ALLOWED = 1.1 * LIMIT_PER_SECOND * (WINDOW_MS / 1_000) + 5;
const GAP_MS = 20;

const DEADLINE_MS = 2_000;

describe('a target behind edge and node', function () {
  this.timeout(30_000);
  const cleanup = new Cleanup();
  const targets: AnnouncingTarget[] = [];
  let edge: Program;

  before(async () => {
    const control = await startTestControl(cleanup);
    await operatorClient(control).put(frontPolicy(DEADLINE_MS), { changeId: 'first' });
    for (const id of ['front-1', 'front-2']) {
      const target = await AnnouncingTarget.start(id);
      cleanup.add(() => target.stop());
      targets.push(target);
      await startTestNode(cleanup, control, 'front', `http://${target.address}`, id);
    }
    edge = await startTestEdge(cleanup, control);
    await untilReady(edge);
    await until(async () => (await statusOf()) === 200 && targets.every(hasArrivals));
  });

  after(() => cleanup.run());

  async function statusOf(): Promise<number> {
    const response = await request(`${edge.origins.listen}/front/1`);
    await response.body.dump();
    return response.statusCode;
  }

  async function sendFor(durationMs: number): Promise<number[]> {
    const statuses: Promise<number>[] = [];
    for (const until = performance.now() + durationMs; performance.now() < until;) {
      statuses.push(statusOf());
      await sleep(GAP_MS);
    }
    return Promise.all(statuses);
  }

  it('gets no more requests than the rate limit that it announces', async () => {
    const [limited] = targets;
    limited!.rateLimit = String(LIMIT_PER_SECOND);
    await sendFor(500);
    const from = performance.now();
    const statuses = await sendFor(WINDOW_MS + 1_000);
    expect(limited!.mostArrivals(WINDOW_MS, from)).to.be.at.most(ALLOWED);
    expect(limited!.arrivals.filter((at) => at >= from).length).to.be.above(LIMIT_PER_SECOND);
    const served = statuses.filter((status) => status === 200).length / statuses.length;
    expect(served, 'served while the other target has room').to.be.at.least(0.99);
    limited!.rateLimit = undefined;
  });

  it('gets no more requests once it announces that it is leaving', async () => {
    const [leaving] = targets;
    leaving!.isLeaving = true;
    await sendFor(500);
    const arrived = leaving!.arrivals.length;
    const statuses = await sendFor(1_000);
    expect(leaving!.arrivals.length).to.equal(arrived);
    expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
  });
});

function hasArrivals({ arrivals }: AnnouncingTarget): boolean {
  return arrivals.length > 0;
}
