import { expect } from 'chai';
import { Client, request, type Dispatcher } from 'undici';
import type { Program } from '../../src/programs/program.js';
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

const POLICY = {
  kind: 'Policy' as const,
  name: 'shop',
  spec: {
    groups: [{ name: 'public', share: 1, keyHashes: [] }],
    defaultGroup: 'public',
    kinds: [
      {
        name: 'read',
        service: 'front',
        match: [{ method: 'GET' as const, path: '/front/{id}' }],
        importance: 'normal' as const,
        repeatable: true,
        internal: false,
        deadlineMs: 5_000,
      },
      {
        name: 'deep-read',
        service: 'deep',
        match: [{ method: 'GET' as const, path: '/deep/{id}' }],
        importance: 'normal' as const,
        repeatable: true,
        internal: true,
        deadlineMs: 5_000,
      },
    ],
    retry: { allowance: 2, ratio: 0.1 },
  },
};

/** Sends the path unchanged; `request` would resolve dot segments. */
async function rawRequest(origin: string, path: string): Promise<Dispatcher.ResponseData> {
  const client = new Client(origin);
  const response = await client.request({ method: 'GET', path });
  void client.close();
  return response;
}

describe('a request through edge, node, target, node and a deeper target', () => {
  const cleanup = new Cleanup();
  let edge: Program;
  let deepRequestHeaders: Record<string, unknown> = {};

  before(async () => {
    const control = await startTestControl(cleanup);
    const answer = await operatorClient(control).put(POLICY, { changeId: 'first' });
    expect(answer.status).to.equal(201);
    const deepOrigin = await startTarget(cleanup, (message, response) => {
      deepRequestHeaders = { ...message.headers };
      response.end(`deep answer to ${message.url}`);
    });
    const deepNode = await startTestNode(cleanup, control, 'deep', deepOrigin);
    const frontOrigin = await startTarget(cleanup, (message, response) => {
      request(`${frontNode.origins.outbound}/deep/7`, {
        headers: { host: 'deep', traceparent: message.headers.traceparent },
      })
        .then(async (answerBelow) => response.end(`front over ${await answerBelow.body.text()}`))
        .catch(() => response.destroy());
    });
    const frontNode: Program = await startTestNode(cleanup, control, 'front', frontOrigin);
    edge = await startTestEdge(cleanup, control);
    await Promise.all([edge, frontNode, deepNode].map(untilReady));
    await until(async () => {
      const response = await request(`${edge.origins.listen}/front/0`);
      await response.body.dump();
      return response.statusCode === 200;
    });
  });

  after(() => cleanup.run());

  it('answers with the whole body of both targets', async () => {
    const response = await request(`${edge.origins.listen}/front/1`);
    expect(response.statusCode).to.equal(200);
    expect(await response.body.text()).to.equal('front over deep answer to /deep/7');
  });

  it('gives the caller a request id and hides internal headers', async () => {
    const response = await request(`${edge.origins.listen}/front/1`);
    await response.body.dump();
    expect(response.headers['shoredoor-request-id']).to.match(/^[0-9a-f]{32}$/);
    expect(response.headers).not.to.have.property('shoredoor-outcome');
  });

  it('gives the target the time left and nothing of its own links', async () => {
    const response = await request(`${edge.origins.listen}/front/1`);
    await response.body.dump();
    expect(Number(deepRequestHeaders['shoredoor-deadline-ms'])).to.be.within(1, 5_000);
    expect(deepRequestHeaders).not.to.have.property('shoredoor-link');
    expect(deepRequestHeaders).not.to.have.property('shoredoor-context');
  });

  const refusals = [
    { name: 'a path that no kind declares', path: '/nowhere', status: 404, type: 'unknown-kind' },
    { name: 'an internal kind', path: '/deep/7', status: 404, type: 'unknown-kind' },
    {
      name: 'a path with dot segments',
      path: '/front/../deep/7',
      status: 404,
      type: 'unknown-kind',
    },
  ];
  for (const { name, path, status, type } of refusals) {
    it(`refuses ${name} with Problem Details`, async () => {
      const response = await rawRequest(edge.origins.listen!, path);
      expect(response.statusCode).to.equal(status);
      expect(response.headers['content-type']).to.equal('application/problem+json');
      const problem = (await response.body.json()) as Record<string, unknown>;
      expect(problem).to.include({ type: `urn:shoredoor:problem:${type}`, verdict: 'not-run' });
    });
  }
});
