import { createConnection } from 'node:net';
import { expect } from 'chai';
import { request } from 'undici';
import { parseResource } from '../../src/policy/resource-schema.js';
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

function kind(name: string, method: string, path: string, repeatable: boolean): object {
  const match = [{ method, path }];
  return { name, service: 'shop', match, importance: 'normal', repeatable, deadlineMs: 3_000 };
}

const POLICY = parseResource({
  kind: 'Policy',
  name: 'shop',
  spec: {
    groups: [{ name: 'public', share: 1 }],
    defaultGroup: 'public',
    kinds: [
      kind('read', 'GET', '/items/{id}', true),
      kind('order', 'POST', '/orders', false),
      kind('echo', 'POST', '/echo', true),
    ],
    retry: { allowance: 0, ratio: 0 },
  },
});

/** Sends raw bytes and reads the response until the connection is closed. */
async function exchange(origin: string, bytes: string): Promise<string> {
  const { hostname, port } = new URL(origin);
  const socket = createConnection(Number(port), hostname);
  socket.write(bytes);
  let answer = '';
  for await (const chunk of socket) answer += (chunk as Buffer).toString('latin1');
  return answer;
}

describe('faults over HTTP', () => {
  const cleanup = new Cleanup();
  let edge: Program;
  let node: Program;
  let orders = 0;

  before(async () => {
    const control = await startTestControl(cleanup);
    await operatorClient(control).put(POLICY, { changeId: 'first' });
    const target = await startTarget(cleanup, (message, response) => {
      if (message.url === '/items/broken') {
        response.writeHead(200, { 'content-length': 100 });
        response.write('only a part');
        setTimeout(() => response.destroy(), 20);
      } else if (message.url === '/items/slow') {
        setTimeout(() => response.end('slow'), 100);
      } else if (message.url === '/orders') {
        orders += 1;
        response.end('placed');
      } else if (message.url === '/echo') {
        message.pipe(response);
      } else response.end(`item ${message.url}`);
    });
    node = await startTestNode(cleanup, control, 'shop', target);
    edge = await startTestEdge(cleanup, control);
    await Promise.all([edge, node].map(untilReady));
    await until(async () => {
      const response = await placeOrder('warm-up');
      return response.statusCode === 200;
    });
    orders = 0;
  });

  after(() => cleanup.run());

  async function placeOrder(key: string) {
    const response = await request(`${edge.origins.listen}/orders`, {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body: '{}',
    });
    const text = await response.body.text();
    return { statusCode: response.statusCode, text };
  }

  it('places an order once for one key, and says that it ran', async () => {
    const first = await placeOrder('key-1');
    const second = await placeOrder('key-1');
    expect(first).to.deep.equal({ statusCode: 200, text: 'placed' });
    expect(second.statusCode).to.equal(409);
    expect(JSON.parse(second.text)).to.include({ verdict: 'ran' });
    expect(orders).to.equal(1);
  });

  it('passes a broken answer on as broken', async () => {
    const response = await request(`${edge.origins.listen}/items/broken`);
    const outcome = await response.body.text().then(
      () => 'complete',
      () => 'broken',
    );
    expect(outcome).to.equal('broken');
  });

  it('gives every caller its own answer while others hang up', async () => {
    const answers = await Promise.all(
      Array.from({ length: 60 }, async (_, index) => {
        if (index % 3 === 0) {
          const abort = new AbortController();
          setTimeout(() => abort.abort(), 10);
          await request(`${edge.origins.listen}/items/slow`, { signal: abort.signal }).catch(
            () => undefined,
          );
          return true;
        }
        const response = await request(`${edge.origins.listen}/items/${index}`);
        return (await response.body.text()) === `item /items/${index}`;
      }),
    );
    expect(answers.every((isOwn) => isOwn)).to.equal(true);
  });

  it('streams a large body both ways whole', async () => {
    const body = Buffer.alloc(5_000_000, 'shoredoor');
    const response = await request(`${edge.origins.listen}/echo`, { method: 'POST', body });
    expect(Buffer.from(await response.body.arrayBuffer()).equals(body)).to.equal(true);
  });

  it('does not believe internal headers from outside', async () => {
    const response = await request(`${node.origins.inbound}/items/1`, {
      headers: {
        'shoredoor-link': 'wrong',
        'shoredoor-message': 'claim',
        'shoredoor-context': 'group=public, kind=read, importance=3, deadline=9, retries=9',
      },
    });
    expect(await response.body.text()).to.equal('item /items/1');
  });

  const malformed = [
    { name: 'no HTTP at all', bytes: 'hello\r\n\r\n', status: '400' },
    {
      name: 'a header that is too large',
      bytes: `GET /items/1 HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
      status: '431',
    },
    {
      name: 'two different lengths',
      bytes: 'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
      status: '400',
    },
    {
      name: 'a length and chunks',
      bytes:
        'POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
      status: '400',
    },
  ];
  for (const { name, bytes, status } of malformed) {
    it(`answers ${status} to ${name} and goes on`, async () => {
      const answer = await exchange(edge.origins.listen!, bytes);
      expect(answer.slice(0, 12)).to.equal(`HTTP/1.1 ${status}`);
      const next = await request(`${edge.origins.listen}/items/2`);
      expect(await next.body.text()).to.equal('item /items/2');
    });
  }
});
