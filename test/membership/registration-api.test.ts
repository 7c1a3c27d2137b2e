import { expect } from 'chai';
import fc from 'fast-check';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { SYSTEM_CLOCK } from '../../src/common/clock.js';
import { RegistrationApi } from '../../src/membership/registration-api.js';
import { TargetLease } from '../../src/membership/target-lease.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';

const GOOD = {
  service: 'ledger',
  address: '127.0.0.1:8080',
  slots: 8,
  state: 'ready',
  sequence: 7,
  born: 1_000,
};

/**
 * Malformed reports: missing fields, wrong types, unknown values, invalid bytes. None may register a target, or end or
 * change a valid lease.
 */
describe('reports of targets that come from another writer', () => {
  let server: Server;
  let lease: TargetLease;

  beforeEach(async () => {
    lease = new TargetLease(SYSTEM_CLOCK, 60_000, () => undefined);
    const api = new RegistrationApi(lease, SILENT_LOGGER, (service) => service === 'ledger');
    server = createServer(api.handle);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  async function send(method: 'PUT' | 'DELETE', body: string | Buffer, id = 'i-1') {
    const { port } = server.address() as AddressInfo;
    const response = await request(`http://127.0.0.1:${port}/v1/instances/${id}`, { method, body });
    await response.body.dump();
    return response.statusCode;
  }

  const torn = JSON.stringify(GOOD).slice(0, 40);
  const bad: Readonly<Record<string, string | Buffer>> = {
    'is cut short': torn,
    'is no text': Buffer.from([0xff, 0xfe, 0x00, 0x80]),
    'is empty': '',
    'is no object': '7',
    'has a start that is no whole number': JSON.stringify({ ...GOOD, born: 1.5 }),
    'has a start that is a text': JSON.stringify({ ...GOOD, born: '1000' }),
    'has no sequence': JSON.stringify({ ...GOOD, sequence: undefined }),
    'has slots that are a text': JSON.stringify({ ...GOOD, slots: '8' }),
    'has no address': JSON.stringify({ ...GOOD, address: undefined }),
    'has a port beyond the range': JSON.stringify({ ...GOOD, address: '127.0.0.1:99999' }),
    'has an address beyond the range': JSON.stringify({ ...GOOD, address: '999.0.0.1:80' }),
    'has a state that is not known': JSON.stringify({ ...GOOD, state: 'resting' }),
    'has a zone that is a number': JSON.stringify({ ...GOOD, zone: 3 }),
    'names a service that is not declared': JSON.stringify({ ...GOOD, service: 'cellar' }),
  };
  for (const [what, body] of Object.entries(bad)) {
    it(`are not taken where one ${what}`, async () => {
      expect(await send('PUT', body)).to.be.within(400, 499);
      expect(lease.current).to.equal(undefined);
      expect(await send('PUT', JSON.stringify(GOOD))).to.equal(200);
      expect(await send('PUT', body)).to.be.within(400, 499);
      expect(await send('PUT', body, 'i-2')).to.be.within(400, 499);
      expect(lease.current).to.include(GOOD);
    });
  }

  it('never end a good lease, whatever they hold', async () => {
    expect(await send('PUT', JSON.stringify(GOOD))).to.equal(200);
    const field = fc.constantFrom(...Object.keys(GOOD));
    const other = fc.oneof(
      fc.string(),
      fc.double(),
      fc.constant(null),
      fc.constant([]),
      fc.boolean(),
    );
    await fc.assert(
      fc.asyncProperty(field, other, async (name, value) => {
        // A value of the right type would make a valid report.
        fc.pre(typeof value !== typeof GOOD[name as keyof typeof GOOD]);
        expect(await send('PUT', JSON.stringify({ ...GOOD, [name]: value }))).to.be.within(
          400,
          499,
        );
        expect(lease.current).to.include(GOOD);
      }),
      { numRuns: 60, seed: 5 },
    );
  });

  it('end nothing by a leave that is torn or of another start', async () => {
    expect(await send('PUT', JSON.stringify(GOOD))).to.equal(200);
    expect(await send('DELETE', JSON.stringify({ born: 'soon' }))).to.be.within(400, 499);
    expect(await send('DELETE', torn)).to.be.within(400, 499);
    expect(await send('DELETE', JSON.stringify({ born: 999 }))).to.equal(200);
    expect(lease.isReady).to.equal(true);
    expect(await send('DELETE', '')).to.equal(200);
    expect(lease.isReady).to.equal(false);
  });
});
