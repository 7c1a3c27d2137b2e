/** Guards that changes refused by replication are logged, not only results of the store. */
import { expect } from 'chai';
import { hash } from 'node:crypto';
import { request } from 'undici';
import { AccessTokens } from '../../src/control/access-tokens.js';
import type { CommandLog, LogRefusal } from '../../src/control/command-log.js';
import { ResourceApi } from '../../src/control/resource-api.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import { ListeningServer } from '../../src/http/listening-server.js';
import { CapturedLines } from '../support/captured-lines.js';
import { OPERATOR_TOKEN } from '../support/processes.js';

const INFO = 30;
const REFUSALS: readonly LogRefusal[] = [
  { type: 'no-quorum' },
  { type: 'storage-failed' },
  { type: 'not-leader', leaderOrigin: 'http://127.0.0.1:1' },
];

describe('a change that replication refuses', () => {
  let captured: CapturedLines;
  let server: ListeningServer;
  let refusal: LogRefusal;

  before(async () => {
    captured = new CapturedLines('control', 'refused-change');
    const log = {
      propose: () => Promise.resolve({ type: 'refused', refusal }),
    } as unknown as CommandLog;
    const tokenHash = hash('sha256', OPERATOR_TOKEN, 'hex');
    const api = new ResourceApi({
      store: new ResourceStore(),
      log,
      tokens: new AccessTokens([{ name: 'writer', role: 'write', tokenHash }]),
      watches: undefined as never,
      status: () => undefined as never,
      wallClock: () => 0,
      logger: captured.logger.part('api'),
    });
    server = await ListeningServer.start({ host: '127.0.0.1', port: 0 }, (message, response) => {
      void api.handle(message, response);
    });
  });

  after(() => {
    server.destroy();
    captured.end();
  });

  for (const each of REFUSALS) {
    it(`has its line with the cause ${each.type}`, async () => {
      refusal = each;
      const response = await request(`${server.origin}/v1/resources/Service/cellar`, {
        method: 'PUT',
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'idempotency-key': each.type },
        body: JSON.stringify({ kind: 'Service', name: 'cellar', spec: { connections: 8 } }),
      });
      await response.body.dump();
      const lines = captured.of('api: A change request was answered.');
      expect(lines.filter(({ changeId }) => changeId === each.type)).to.deep.equal([
        {
          level: INFO,
          msg: 'api: A change request was answered.',
          actor: 'writer',
          changeId: each.type,
          change: 'put',
          result: 'refused',
          cause: each.type,
        },
      ]);
    });
  }
});
