/** Pins complete responses of the operators' API for whole sets, and of replicas without a quorum. */
import { expect } from 'chai';
import type { Program } from '../../src/programs/program.js';
import {
  Cleanup,
  OPERATOR_TOKEN,
  planReplicas,
  READER_TOKEN,
  startReplica,
  startTestControl,
  until,
} from '../support/processes.js';
import {
  answerTo,
  JSON_TYPE,
  problemAnswer,
  PROBLEM_TYPE,
  type WholeAnswer,
} from '../support/whole-answer.js';

const PATH = '/v1/declarations';
const SERVICE = { kind: 'Service', name: 'ledger', spec: { connections: 8 } };
const ROUTE = {
  kind: 'Route',
  name: 'read',
  spec: {
    host: 'shop.example',
    pathPrefix: '/read/',
    semantics: 'repeatable',
    service: 'ledger',
    timeoutMs: 2_000,
  },
};

function bearer(token: string): { authorization: string } {
  return { authorization: `Bearer ${token}` };
}

describe("the operators' API for sets", () => {
  const cleanup = new Cleanup();
  let control: Program;

  before(async () => {
    control = await startTestControl(cleanup);
    await until(async () => (await get()).status === 404);
  });

  after(() => cleanup.run());

  function get(token = READER_TOKEN): Promise<WholeAnswer> {
    return answerTo(control.origins.listen + PATH, { headers: bearer(token) });
  }

  function put(body: unknown, base?: string, token = OPERATOR_TOKEN): Promise<WholeAnswer> {
    const headers = { ...bearer(token), ...(base !== undefined && { 'if-match': base }) };
    return answerTo(control.origins.listen + PATH, { method: 'PUT', headers, body });
  }

  it('says that there is none yet', async () => {
    expect(await get()).to.deep.equal(problemAnswer(404, 'not-found', 'No set was declared yet.'));
  });

  it('refuses what it does not know or allow', async () => {
    expect(await get('unknown')).to.deep.equal({
      ...problemAnswer(401, 'unauthenticated', 'A known bearer token is needed.'),
      headers: { ...PROBLEM_TYPE, 'www-authenticate': 'Bearer' },
    });
    expect(await put({}, '0', READER_TOKEN)).to.deep.equal(
      problemAnswer(403, 'forbidden', 'The token allows reading only.'),
    );
    const posted = await answerTo(control.origins.listen + PATH, {
      method: 'POST',
      headers: bearer(OPERATOR_TOKEN),
    });
    expect(posted).to.deep.equal(
      problemAnswer(405, 'method-not-allowed', 'Allowed here: GET, PUT.'),
    );
    expect(await put('{', '0')).to.deep.equal(
      problemAnswer(422, 'invalid', 'The body is not JSON.'),
    );
    expect(await put({ version: 'one' }, '0')).to.deep.equal(
      problemAnswer(422, 'invalid', 'The body takes a version and a list of resources.'),
    );
    expect(await put({ version: 1, resources: [] })).to.deep.equal(
      problemAnswer(
        422,
        'invalid',
        'If-Match takes the version that the set builds on; 0 for the first.',
      ),
    );
    expect(await put({ version: 1, resources: [ROUTE] }, '0')).to.deep.equal(
      problemAnswer(422, 'invalid', 'The set is not valid.', {
        faults: [{ path: 'resources[0].spec', message: "no service 'ledger'" }],
      }),
    );
  });

  it('takes a set on its base, and shows it with its version as entity tag', async () => {
    const resources = [ROUTE, SERVICE];
    const taken = {
      status: 200,
      headers: { ...JSON_TYPE, etag: '"7"' },
      body: { version: 7, revision: 1 },
    };
    expect(await put({ version: 7, resources }, '"0"')).to.deep.equal(taken);
    expect(await put({ version: 7, resources }, '0'), 'sent again').to.deep.equal(taken);
    expect(await put({ version: 8, resources: [] }, '6')).to.deep.equal(
      problemAnswer(412, 'precondition-failed', 'Version 7 is current.'),
    );
    const shown = await get();
    expect(shown.status).to.equal(200);
    expect(shown.headers).to.deep.equal({ ...JSON_TYPE, etag: '"7"' });
    const { version, resources: listed } = shown.body as { version: number; resources: object[] };
    expect(version).to.equal(7);
    expect(listed.map((each) => Object.keys(each).sort())).to.deep.equal([
      ['kind', 'name', 'spec'],
      ['kind', 'name', 'spec'],
    ]);
  });
});

describe('a replica of control that can not decide', () => {
  const cleanup = new Cleanup();

  afterEach(() => cleanup.run());

  function put(origin: string, path: string, body: object): Promise<WholeAnswer> {
    const headers = { ...bearer(OPERATOR_TOKEN), 'if-match': '"0"' };
    return answerTo(origin + path, { method: 'PUT', headers, body });
  }

  it('says so, and whether the change may have taken effect', async () => {
    const replicas = await planReplicas(2);
    const lone = await startReplica(cleanup, replicas, replicas[0]!);
    const { listen, admin } = lone.origins;
    const detail = 'No quorum of control replicas can be reached now.';
    const headers = { ...PROBLEM_TYPE, 'retry-after': '1' };
    expect(await put(listen!, PATH, { version: 1, resources: [] })).to.deep.equal({
      ...problemAnswer(503, 'no-quorum', detail, { verdict: 'may-have-run' }),
      headers,
    });
    expect(await put(listen!, '/v1/resources/Service/ledger', SERVICE)).to.deep.equal({
      ...problemAnswer(503, 'no-quorum', detail),
      headers,
    });
    const waiting = {
      status: 503,
      headers: { 'content-type': 'text/plain; charset=utf-8' },
      body: 'waiting for the other replicas\n',
    };
    // The body differs until the replica has prepared its disk.
    await until(async () => (await answerTo(`${admin}/readyz`)).body === waiting.body);
    expect(await answerTo(`${admin}/readyz`)).to.deep.equal(waiting);
  });

  it('names the leader where it knows one', async () => {
    const replicas = await planReplicas(2);
    for (const replica of replicas) await startReplica(cleanup, replicas, replica);
    const leaderOf = async (origin: string): Promise<string | undefined> => {
      const { body } = await answerTo(`${origin}/v1/status`, { headers: bearer(READER_TOKEN) });
      return (body as { replication: { leaderOrigin?: string } }).replication.leaderOrigin;
    };
    const [first, second] = replicas.map(({ origin }) => origin);
    await until(async () => (await leaderOf(first!)) !== undefined);
    await until(async () => (await leaderOf(first!)) === (await leaderOf(second!)));
    const leader = await leaderOf(first!);
    const other = leader === first ? second! : first!;
    for (const path of [PATH, '/v1/resources/Service/ledger?dryRun=false']) {
      const body = path === PATH ? { version: 1, resources: [] } : SERVICE;
      expect(await put(other, path, body)).to.deep.equal({
        status: 307,
        headers: { location: leader + path },
        body: '',
      });
    }
  });
});
