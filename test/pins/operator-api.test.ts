/** Pins complete responses of the operators' API for single resources. */
import { expect } from 'chai';
import { request } from 'undici';
import type { Program } from '../../src/programs/program.js';
import {
  Cleanup,
  OPERATOR_TOKEN,
  READER_TOKEN,
  startTestControl,
  until,
} from '../support/processes.js';
import {
  answerTo,
  JSON_TYPE,
  problemAnswer,
  PROBLEM_TYPE,
  type Sent,
  type WholeAnswer,
} from '../support/whole-answer.js';

const SERVICE = { kind: 'Service', name: 'ledger', spec: { connections: 8 } };
/** The same resource with the defaults that control fills in. */
const STORED_SERVICE = {
  kind: 'Service',
  name: 'ledger',
  spec: {
    concurrency: { algorithm: 'adaptive', initial: 10, min: 1, max: 200 },
    connections: 8,
    queueWaitMs: 100,
    slowStartMs: 10_000,
  },
};

describe("the operators' API for resources", () => {
  const cleanup = new Cleanup();
  let control: Program;

  before(async () => {
    control = await startTestControl(cleanup);
    await until(async () => (await ask('GET', '/v1/resources')).status === 200);
  });

  after(() => cleanup.run());

  function ask(
    method: NonNullable<Sent['method']>,
    path: string,
    body?: unknown,
    headers: Record<string, string> = {},
    token = OPERATOR_TOKEN,
  ): Promise<WholeAnswer> {
    const authorization = `Bearer ${token}`;
    return answerTo(control.origins.listen + path, {
      method,
      body,
      headers: { authorization, ...headers },
    });
  }

  it('asks for a token', async () => {
    const refused = problemAnswer(401, 'unauthenticated', 'A known bearer token is needed.');
    const answer = await ask('GET', '/v1/status', undefined, {}, 'unknown');
    expect(answer).to.deep.equal({
      ...refused,
      headers: { ...PROBLEM_TYPE, 'www-authenticate': 'Bearer' },
    });
  });

  it('refuses what it does not know or allow', async () => {
    expect(await ask('GET', '/v1/nothing')).to.deep.equal(
      problemAnswer(404, 'not-found', 'There is nothing at this path.'),
    );
    expect(await ask('POST', '/v1/resources/Service/ledger', {})).to.deep.equal(
      problemAnswer(405, 'method-not-allowed', 'Allowed here: GET, PUT, DELETE.'),
    );
    expect(
      await ask('PUT', '/v1/resources/Service/ledger', SERVICE, {}, READER_TOKEN),
    ).to.deep.equal(problemAnswer(403, 'forbidden', 'The token allows reading only.'));
    expect(await ask('PUT', '/v1/resources/ClaimView/ledger', {})).to.deep.equal(
      problemAnswer(
        403,
        'forbidden',
        'A ClaimView is not declared alone: it belongs to a set or to the system itself.',
      ),
    );
    expect(await ask('GET', '/v1/resources/Service/none')).to.deep.equal(
      problemAnswer(404, 'not-found', "There is no Service 'none'."),
    );
    expect(await ask('DELETE', '/v1/resources/Service/none')).to.deep.equal(
      problemAnswer(404, 'not-found', 'The resource does not exist.'),
    );
    expect(await ask('DELETE', '/v1/resources/Quarantine/none')).to.deep.equal(
      problemAnswer(404, 'not-found', 'The resource does not exist.'),
    );
  });

  it('refuses bodies and headers that it can not take', async () => {
    const path = '/v1/resources/Service/ledger';
    expect(await ask('PUT', path, '{')).to.deep.equal(
      problemAnswer(422, 'invalid', 'The body is not JSON.'),
    );
    const bad = {
      kind: 'Service',
      name: 'ledger',
      spec: { healthCheckPath: '/', queueWaitMs: -1 },
    };
    const answer = await ask('PUT', path, bad);
    const [fault] = (answer.body as { faults: { path: string }[] }).faults;
    expect(Object.keys(fault!).sort()).to.deep.equal(['message', 'path']);
    expect(answer).to.deep.equal(
      problemAnswer(422, 'invalid', 'The resource is not valid.', {
        faults: [{ path: 'spec.queueWaitMs', message: 'Too small: expected number to be >=0' }],
      }),
    );
    expect(await ask('PUT', '/v1/resources/Service/other', SERVICE)).to.deep.equal(
      problemAnswer(422, 'invalid', "The body declares Service 'ledger', not what the path names."),
    );
    expect(await ask('PUT', path, SERVICE, { 'if-match': 'seven' })).to.deep.equal(
      problemAnswer(422, 'invalid', 'If-Match takes one entity tag or *, If-None-Match takes *.'),
    );
    const long = { 'idempotency-key': 'x'.repeat(129) };
    expect(await ask('PUT', path, SERVICE, long)).to.deep.equal(
      problemAnswer(422, 'invalid', 'Idempotency-Key takes at most 128 characters.'),
    );
    expect(await ask('PUT', path, 'x'.repeat(1024 * 1024 + 1))).to.deep.equal(
      problemAnswer(413, 'too-large', 'The body was not taken: too-large.'),
    );
  });

  it('creates, shows, changes and deletes a resource, with its version as entity tag', async () => {
    const path = '/v1/resources/Service/ledger';
    const first = { 'idempotency-key': 'change-1', 'if-none-match': '*' };
    expect(await ask('PUT', `${path}?dryRun=true`, SERVICE)).to.deep.equal({
      status: 201,
      headers: JSON_TYPE,
      body: { type: 'accepted', revision: 1, created: true, dryRun: true },
    });
    const created = {
      status: 201,
      headers: { ...JSON_TYPE, etag: '"1"' },
      body: { type: 'accepted', revision: 1, created: true, dryRun: false },
    };
    expect(await ask('PUT', path, SERVICE, first)).to.deep.equal(created);
    expect(await ask('PUT', path, SERVICE, first), 'sent again').to.deep.equal(created);
    expect(await ask('DELETE', path, undefined, first)).to.deep.equal(
      problemAnswer(422, 'change-id-reused', 'This change id was used for another change.'),
    );
    expect(await ask('PUT', path, SERVICE, { 'if-match': '"1"' })).to.deep.equal({
      status: 200,
      headers: { ...JSON_TYPE, etag: '"1"' },
      body: { type: 'unchanged', revision: 1, dryRun: false },
    });
    const shown = await ask('GET', path);
    const { changedAt } = shown.body as { changedAt: number };
    const stored = { resource: STORED_SERVICE, version: 1, changedBy: 'writer', changedAt };
    expect(changedAt).to.be.a('number');
    expect(shown).to.deep.equal({
      status: 200,
      headers: { ...JSON_TYPE, etag: '"1"' },
      body: stored,
    });
    expect(await ask('PUT', path, SERVICE, { 'if-match': '"7"' })).to.deep.equal(
      problemAnswer(409, 'conflict', 'The resource stands at another version.', {
        current: stored,
      }),
    );
    expect(await ask('GET', '/v1/resources?kind=Service')).to.deep.equal({
      status: 200,
      headers: JSON_TYPE,
      body: { revision: 1, items: [stored] },
    });
    expect(await ask('GET', '/v1/resources?kind=Policy')).to.deep.equal({
      status: 200,
      headers: JSON_TYPE,
      body: { revision: 1, items: [] },
    });
    expect(await ask('DELETE', path, undefined, { 'if-match': '"1"' })).to.deep.equal({
      status: 200,
      headers: { ...JSON_TYPE, etag: '"2"' },
      body: { type: 'accepted', revision: 2, created: false, dryRun: false },
    });
  });

  it('shows its status', async () => {
    const { status, headers, body } = await ask('GET', '/v1/status', undefined, {}, READER_TOKEN);
    const report = body as { replication: Record<string, unknown> } & Record<string, unknown>;
    const { replication } = report;
    expect({ status, headers }).to.deep.equal({ status: 200, headers: JSON_TYPE });
    expect({ ...report, replication: undefined }).to.deep.equal({
      replicaId: 'control-1',
      replication: undefined,
      acceptedRevision: 2,
      distributedRevision: 2,
      inForceRevision: 2,
      memberCount: 0,
      holders: [],
      lagging: [],
    });
    const { term, commitIndex, lastIndex, confirmedAgeMs, ...others } = replication;
    expect([term, commitIndex, lastIndex, confirmedAgeMs].map((each) => typeof each)).to.deep.equal(
      ['number', 'number', 'number', 'number'],
    );
    expect(others).to.deep.equal({
      role: 'leader',
      phase: 'running',
      leaderId: 'control-1',
      leaderOrigin: control.origins.listen,
      origins: [control.origins.listen],
      voters: ['control-1'],
      learners: [],
      replicasSettled: true,
    });
  });

  it('streams changes and bookmarks as lines of JSON', async () => {
    const response = await request(`${control.origins.listen}/v1/watch?from=1`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    const { 'content-type': type, 'cache-control': cache } = response.headers;
    expect({ type, cache }).to.deep.equal({ type: 'application/x-ndjson', cache: 'no-store' });
    let text = '';
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      text += chunk.toString();
      if (text.split('\n').length > 2) break;
    }
    const [change, bookmark] = text
      .split('\n')
      .slice(0, 2)
      .map(
        (line) =>
          JSON.parse(line) as {
            change?: { at: number };
          },
      );
    expect(change).to.deep.equal({
      type: 'change',
      change: {
        revision: 2,
        id: { kind: 'Service', name: 'ledger' },
        actor: 'writer',
        at: change!.change!.at,
      },
    });
    expect(bookmark).to.deep.equal({ type: 'bookmark', revision: 2, inForceRevision: 2 });
  });

  it('says where a watch can begin', async () => {
    expect(await ask('GET', '/v1/watch?from=9')).to.deep.equal(
      problemAnswer(
        410,
        'gone',
        'Changes from this revision are no longer kept: list again, then watch.',
        { oldestRevision: 0 },
      ),
    );
  });
});
