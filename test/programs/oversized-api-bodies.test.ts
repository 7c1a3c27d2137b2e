import { expect } from 'chai';
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { startLoneControl } from '../support/lone-control.js';
import {
  Cleanup,
  clientOf,
  OPERATOR_TOKEN,
  planReplicas,
  startReplica,
} from '../support/processes.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

/** An API that takes a JSON body. */
interface Api {
  readonly origin: string;
  readonly path: string;
}

interface Answer {
  readonly status: number | undefined;
  readonly socket: Socket | null;
}

const CHUNK = Buffer.alloc(64 * 1024, ' ');
/** Total size of a body, above the maximum of each API, in chunks. */
const CHUNKS = 300;
const REQUESTS = 10;

/** Sends a body of unknown length. @throws when the connection ends before the response */
function put({ origin, path }: Api, agent: Agent): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const sent = request(`${origin}${path}`, {
      ...{ method: 'PUT', agent },
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'idempotency-key': 'change-1' },
    });
    sent.on('error', reject);
    sent.on('response', (response) => {
      const { socket } = sent;
      response.resume().on('error', reject);
      response.on('end', () => resolve({ status: response.statusCode, socket }));
    });
    const writeFrom = (index: number): void => {
      if (index === CHUNKS) sent.end();
      else sent.write(CHUNK, () => writeFrom(index + 1));
    };
    writeFrom(0);
  });
}

/** Guards against a sender whose connection is lost or blocked by a body over the maximum of an API. */
describe('a body over the maximum of an API', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();
  after(() => cleanup.run());

  async function expectAnswers(api: Api): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    cleanup.add(() => agent.destroy());
    const answers: Answer[] = [];
    for (let each = 0; each < REQUESTS; each += 1) answers.push(await put(api, agent));
    expect(answers.map(({ status }) => status)).to.deep.equal(Array(REQUESTS).fill(413));
    expect(new Set(answers.map(({ socket }) => socket)).size).to.equal(1);
  }

  async function startTestSidecar(): Promise<Program> {
    const control = await startLoneControl(cleanup);
    const stop = { drainMs: 0, timeoutMs: 0 };
    const settings = sidecarSettings(control.origins.listen, { stop });
    const sidecar = await startSidecar(settings, SILENT_LOGGER);
    cleanup.add(() => sidecar.stop());
    return sidecar;
  }

  it('is answered on a connection that stays usable, by the registration API', async () => {
    const sidecar = await startTestSidecar();
    await expectAnswers({ origin: sidecar.origins.registration!, path: '/v1/instances/i-1' });
  });

  it('is answered on a connection that stays usable, by the resource API', async () => {
    const replicas = await planReplicas(1);
    await startReplica(cleanup, replicas, replicas[0]!);
    await clientOf(replicas).list();
    await expectAnswers({ origin: replicas[0]!.origin, path: '/v1/resources/Service/ledger' });
  });
});
