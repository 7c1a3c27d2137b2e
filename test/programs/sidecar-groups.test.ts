import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';
import { sidecarSettings } from '../support/sidecar-settings.js';
import { ScriptedTarget } from '../support/scripted-target.js';

/** Time within which the revocation of a key takes effect, in milliseconds. */
const REVOKED_WITHIN_MS = 1_500;
const RATE = 4;
/** In any window, a group may run at most five seconds of its rate, plus 10 %, plus 20 requests. */
const WINDOW_MS = 5_000;
/** Requests sent concurrently, and the number of refusals after which the limit counts as reached. */
const BATCH = 20;
const MIN_REFUSED = 200;

function route(name: string, anonymous?: boolean) {
  const place = { host: 'shop.example', pathPrefix: `/${name}/`, semantics: 'repeatable' };
  const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank: 0, maxTargets: 1 };
  return { kind: 'Route', name, spec: { ...place, ...limits, service: 'ledger', anonymous } };
}

function group(name: string, keys: string[], more: object = {}) {
  return { kind: 'Group', name, spec: { keys, ...more } };
}

describe('groups of callers at a sidecar', function () {
  this.timeout(30_000);
  const cleanup = new Cleanup();
  let target: ScriptedTarget;
  let control: Program;
  let sidecar: Program;
  let version = 0;
  let nextId = 0;
  let sequence = 0;

  before(async () => {
    target = await ScriptedTarget.start();
    cleanup.add(() => target.stop());
    control = await startLoneControl(cleanup);
    sidecar = await startSidecar(
      sidecarSettings(control.origins.listen, {
        heartbeatIntervalMs: 200,
        revocation: { withinMs: REVOKED_WITHIN_MS },
      }),
      SILENT_LOGGER,
    );
    cleanup.add(() => sidecar.stop());
    await until(async () => (await declare([])).status === 200);
    await report();
    await declare([
      group('first', ['key-1']),
      group('limited', ['key-2'], { ratePerSecond: RATE }),
    ]);
    await until(async () => (await send('read', { 'x-api-key': 'key-1' })).status === 200);
  });

  after(() => cleanup.run());

  // A target repeats its report within its lease; without that, a test depends on how long the earlier ones took.
  beforeEach(report);

  async function declare(groups: object[]) {
    const resources = [
      route('read'),
      route('open', true),
      { kind: 'Service', name: 'ledger', spec: { connections: 8 } },
      ...groups,
    ];
    const base = version;
    version += 1;
    const response = await request(`${control.origins.listen}/v1/declarations`, {
      method: 'PUT',
      headers: { 'if-match': String(base), 'content-type': 'application/json' },
      body: JSON.stringify({ version, resources }),
    });
    await response.body.dump();
    if (response.statusCode !== 200) version = base;
    return { status: response.statusCode };
  }

  async function report() {
    sequence += 1;
    const { address } = target;
    const body = { service: 'ledger', address, slots: 100, state: 'ready', sequence };
    const response = await request(`${sidecar.origins.registration}/v1/instances/i-1`, {
      method: 'PUT',
      body: JSON.stringify(body),
    });
    await response.body.dump();
  }

  async function send(path: string, headers: Record<string, string>) {
    nextId += 1;
    const response = await request(`${sidecar.origins.outbound}/${path}/x`, {
      headers: { host: 'shop.example', 'x-request-id': `r-${nextId}`, ...headers },
    });
    return {
      status: response.statusCode,
      retryAfter: response.headers['retry-after'],
      body: await response.body.text(),
    };
  }

  /** Returns the head of the last request that the target received, in lower case. */
  function lastHead(): string {
    return `${target.arrived.at(-1)!.head}\r\n`;
  }

  it('tells the target whose key it was, whatever the client says, and not the key', async () => {
    await send('read', { 'x-api-key': 'key-1', 'x-caller-group': 'another' });
    expect(lastHead()).to.match(/x-caller-group: first\r\n/);
    expect(lastHead()).to.not.include('another');
    expect(lastHead()).to.not.include('key-1');
  });

  it('asks for no key on an anonymous route, and passes no group on', async () => {
    const { status } = await send('open', { 'x-caller-group': 'another' });
    expect(status).to.equal(200);
    expect(lastHead()).to.not.include('x-caller-group');
  });

  for (const headers of [{}, { 'x-api-key': 'key-9' }] as Record<string, string>[]) {
    it(`answers 401 to ${'x-api-key' in headers ? 'an unknown' : 'no'} key, for good`, async () => {
      const { status, retryAfter } = await send('read', headers);
      expect(status).to.equal(401);
      expect(retryAfter).to.equal(undefined);
    });
  }

  const sendLimited = () => send('read', { 'x-api-key': 'key-2' });

  it('answers 429 beyond the rate of a group, says when to come back, and lets others run', async () => {
    const startedAt = performance.now();
    const answers: Awaited<ReturnType<typeof send>>[] = [];
    while (answers.filter(({ status }) => status === 429).length < MIN_REFUSED) {
      answers.push(...(await Promise.all(Array.from({ length: BATCH }, sendLimited))));
    }
    const windows = 1 + Math.floor((performance.now() - startedAt) / WINDOW_MS);
    const refused = answers.filter(({ status }) => status === 429);
    const ran = answers.filter(({ status }) => status === 200);
    expect(ran.length + refused.length).to.equal(answers.length);
    expect(ran.length).to.be.within(5 * RATE, windows * (5 * RATE * 1.1 + 20));
    expect(Number(refused[0]!.retryAfter)).to.be.within(1, 6);
    expect((await send('read', { 'x-api-key': 'key-1' })).status).to.equal(200);
  });

  it('answers 503 for as long as control does not confirm the keys', async () => {
    await control.stop();
    await sleep(REVOKED_WITHIN_MS);
    const known = await send('read', { 'x-api-key': 'key-1' });
    const unknown = await send('read', { 'x-api-key': 'key-9' });
    expect(known.status).to.equal(503);
    expect(known.body)
      .to.match(/stale-configuration/)
      .and.match(/not-run/);
    expect(unknown.status).to.equal(503);
    expect((await send('open', {})).status).to.equal(200);
  });
});
