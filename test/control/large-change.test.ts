/** Guards the size of the sync response that each follower receives for a change of many routes. */
import { expect } from 'chai';
import { request } from 'undici';
import { encodeMessage } from '../../src/common/message-codec.js';
import { NO_REVISION, SYNC_PATH, type SyncRequest } from '../../src/sync/sync-protocol.js';
import { declareFirstSet, LONE_LINK_TOKEN, startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';

const ROUTES = 1_500;
/**
 * Maximum size in bytes of one response: 200 followers of one replica must receive the change over a link of 86 Mbit/s within half
 * a second, a quarter of the time until it must be in force.
 */
const MOST_BYTES = (86_000_000 / 8 / 200) * 0.5;

function route(index: number): object {
  const pathPrefix = `/x${(index * 7_919).toString(36)}/`;
  const limits = { timeoutMs: 1_500 + index, objectiveMs: 1_000, rank: 2, maxTargets: 2 };
  const spec = { host: 'shop.example', pathPrefix, semantics: 'repeatable', ...limits };
  return { kind: 'Route', name: `r-${index.toString(36)}`, spec: { ...spec, service: 'ledger' } };
}

describe('a change of many routes', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();
  after(() => cleanup.run());

  it('is sent to each follower in few bytes', async () => {
    const control = await startLoneControl(cleanup);
    const origin = control.origins.listen!;
    const resources = Array.from({ length: ROUTES }, (_, index) => route(index));
    const service = { kind: 'Service', name: 'ledger', spec: { connections: 8 } };
    await until(() => declare(origin, [service, ...resources]));
    const bytes = await sync(origin);
    expect(bytes).to.be.above(0);
    expect(bytes).to.be.below(MOST_BYTES);
  });

  async function declare(origin: string, resources: object[]): Promise<boolean> {
    return declareFirstSet(origin, resources);
  }

  /** Syncs as a process that has just started. @returns length of the response body in bytes */
  async function sync(origin: string): Promise<number> {
    const message: SyncRequest = {
      revision: NO_REVISION,
      endpointSource: '',
      endpointVersion: 0,
    };
    const response = await request(origin + SYNC_PATH, {
      method: 'POST',
      headers: { authorization: `Bearer ${LONE_LINK_TOKEN}` },
      body: encodeMessage(message),
    });
    expect(response.statusCode).to.equal(200);
    return (await response.body.arrayBuffer()).byteLength;
  }
});
