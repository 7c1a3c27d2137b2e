import { expect } from 'chai';
import { request } from 'undici';
import type { Program } from '../../src/programs/program.js';
import { frontPolicy } from '../support/front-policy.js';
import {
  Cleanup,
  operatorClient,
  startTarget,
  startTestControl,
  startTestEdge,
  startTestNode,
  until,
  untilReady,
} from '../support/processes.js';

const STOP = { drainMs: 400, timeoutMs: 600 };
const STATUS_TOO_LATE = 504;

const DEADLINE_MS = 5_000;

/**
 * Guards against reset connections of requests that arrive while the edge drains and that have a longer deadline than the
 * stop leaves them.
 */
describe('the planned stop of an edge', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();
  let edge: Program;
  let isQuick = true;

  before(async () => {
    const control = await startTestControl(cleanup);
    await operatorClient(control).put(frontPolicy(DEADLINE_MS), { changeId: 'first' });
    const target = await startTarget(cleanup, (_message, response) => {
      if (isQuick) response.end('quick');
    });
    await startTestNode(cleanup, control, 'front', target);
    edge = await startTestEdge(cleanup, control, STOP);
    await untilReady(edge);
    await until(async () => (await statusOf()) === 200);
  });

  after(() => cleanup.run());

  async function statusOf(): Promise<number> {
    const response = await request(`${edge.origins.listen}/front/1`);
    await response.body.dump();
    return response.statusCode;
  }

  it('answers what it has taken before it ends', async () => {
    isQuick = false;
    const stopped = edge.stop();
    expect(await statusOf()).to.equal(STATUS_TOO_LATE);
    await stopped;
  });
});
