import { expect } from 'chai';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { probeTarget } from '../../src/membership/target-probe.js';

const { instanceId, load, rateLimit, leaving } = DEFAULT_TARGET_HEADERS;

/** Returns the report of a probe of a target with this health check. */
async function probe(health: RequestListener) {
  return (await probeAnswer(health))?.report;
}

/** Returns the answer to a probe of a target with this health check. */
async function probeAnswer(health: RequestListener) {
  const server = createServer(health);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  try {
    const target = { address, service: 'ledger', path: '/health' };
    return await probeTarget(target, DEFAULT_TARGET_HEADERS);
  } finally {
    server.close();
    server.closeAllConnections();
  }
}

describe('a probe of the target of a machine', () => {
  it('finds a sound target, as a report older than any of its own', async () => {
    const found = await probe((message, response) => {
      const status = message.url === '/health' ? 200 : 404;
      response.writeHead(status, { [instanceId]: 'i-7', [load]: '3,0,8' }).end('ok');
    });
    expect(found).to.deep.include({ instance: 'i-7', service: 'ledger', slots: 8 });
    expect(found).to.deep.include({ state: 'ready', sequence: 0 });
  });

  it('finds a target that reports how long work takes besides its slots', async () => {
    const found = await probe((_message, response) =>
      response.writeHead(200, { [instanceId]: 'i-7', [load]: '3,0,8,250' }).end(),
    );
    expect(found).to.include({ instance: 'i-7', slots: 8 });
  });

  it('finds none that is not well, is nameless, or tells no slots', async () => {
    const answers: [number, Record<string, string>][] = [
      [503, { [instanceId]: 'i-7', [load]: '3,0,8' }],
      [200, { [load]: '3,0,8' }],
      [200, { [instanceId]: 'i-7' }],
      [200, { [instanceId]: 'i-7', [load]: '3,0,many' }],
      [200, { [instanceId]: 'i-7', [load]: '8' }],
    ];
    for (const [status, headers] of answers) {
      const found = await probe((_message, response) => response.writeHead(status, headers).end());
      expect(found).to.equal(undefined);
    }
  });

  it('reads what a target announces, also one that is leaving', async () => {
    const headers = { [instanceId]: 'i-7', [rateLimit]: '5.4', [leaving]: '1' };
    const found = await probeAnswer((_message, response) => response.writeHead(503, headers).end());
    expect(found).to.deep.equal({
      instance: 'i-7',
      report: undefined,
      announcement: { rateLimit: { type: 'limited', perSecond: 5.4 }, isLeaving: true },
    });
  });

  it('finds none where the connection breaks', async () => {
    const found = await probe((message) => message.socket.destroy());
    expect(found).to.equal(undefined);
  });
});
