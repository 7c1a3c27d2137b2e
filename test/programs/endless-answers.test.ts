import { expect } from 'chai';
import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import {
  ENDLESS_AFTER_ANSWER,
  ENDLESS_BEFORE_BODY,
  ENDLESS_BODY,
} from '../support/endless-answers.js';
import { declareFirstSet, startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';
import { FRONTS, NODE_GATE, type Front } from '../support/fronts-of-target.js';
import type { RawRequest } from '../support/raw-exchange.js';
import { answer, ScriptedTarget, type Script } from '../support/scripted-target.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

const HOST = 'shop.example';
const ROUTE_TIMEOUT_MS = 1_000;
/** Time after the timeout of a route within which its request has its final answer, in milliseconds. */
const ANSWER_SLACK_MS = 500;
/** Memory that a machine of a sidecar has beyond what an idle sidecar takes, in bytes. */
const MAX_GROWTH_BYTES = 150 * 1024 * 1024;
const REPORT_INTERVAL_MS = 500;
const CALM_INTERVAL_MS = 50;
const FAILED = [502, 504];
const ORDER: RawRequest = { method: 'POST', version: '1.1', body: 'with a length' };
const CALM: RawRequest = { method: 'GET', version: '1.1' };
/** The connection of the client was closed without a whole answer. */
const CUT_OFF = 0;

/** Guards against targets whose answer never ends: it must cost its own caller at most a failure, and nobody else anything. */
describe('a target that sends bytes without end', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();
  const services = ['faulty', 'sound'] as const;
  const targets: Partial<Record<string, ScriptedTarget>> = {};
  let ingress: Program;
  let sequence = 0;
  let nextId = 0;

  before(async () => {
    const control = await startLoneControl(cleanup);
    const sidecars: Program[] = [];
    for (const service of services) {
      const target = await ScriptedTarget.start();
      targets[service] = target;
      cleanup.add(() => target.stop());
      const stop = { drainMs: 0, timeoutMs: 0 };
      const settings = sidecarSettings(control.origins.listen, { id: service, service, stop });
      const sidecar = await startSidecar(settings, SILENT_LOGGER);
      cleanup.add(() => sidecar.stop());
      sidecars.push(sidecar);
    }
    ingress = sidecars[1]!;
    await until(() => declareFirstSet(control.origins.listen, firstSet()));
    const report = () => Promise.all(services.map((service, at) => tell(sidecars[at]!, service)));
    await report();
    const timer = setInterval(() => void report(), REPORT_INTERVAL_MS);
    cleanup.add(() => clearInterval(timer));
    for (const service of services) {
      await until(async () => (await send(service)).status === 200);
    }
  });

  after(() => cleanup.run());

  afterEach(() => {
    targets.faulty!.script = (socket, { id }) => socket.write(answer(id, 'whole'));
  });

  function firstSet(): unknown[] {
    return services.flatMap((service) => {
      const place = { host: HOST, pathPrefix: `/${service}/`, semantics: 'once', service };
      const limits = { timeoutMs: ROUTE_TIMEOUT_MS, objectiveMs: 500, rank: 1, maxTargets: 1 };
      return [
        { kind: 'Route', name: service, spec: { ...place, ...limits } },
        { kind: 'Service', name: service, spec: { connections: 64 } },
      ];
    });
  }

  async function tell({ origins }: Program, service: string): Promise<void> {
    sequence += 1;
    const report = { service, address: targets[service]!.address, slots: 8, state: 'ready' };
    const response = await request(`${origins.registration}/v1/instances/i-${service}`, {
      method: 'PUT',
      body: JSON.stringify({ ...report, sequence }),
    });
    await response.body.dump();
  }

  /** Sends a request and reads its whole answer. */
  async function send(service: string): Promise<{ status: number; tookMs: number }> {
    const startedAt = performance.now();
    const took = () => performance.now() - startedAt;
    try {
      const headers = { host: HOST, 'x-request-id': `q-${(nextId += 1)}` };
      const options = { headers, method: 'POST' as const, body: 'order' };
      const response = await request(`${ingress.origins.outbound}/${service}/1`, options);
      await response.body.text();
      return { status: response.statusCode, tookMs: took() };
    } catch {
      return { status: CUT_OFF, tookMs: took() };
    }
  }

  /** Sends one request to the faulty target, and others to the sound one meanwhile. */
  async function sendBesideOthers(script: ScriptedTarget['script']) {
    const target = targets.faulty!;
    let isClosed = false;
    target.script = (socket, arrived) => {
      socket.once('close', () => (isClosed = true));
      script(socket, arrived);
    };
    const memoryBefore = process.memoryUsage.rss();
    let memoryMost = 0;
    const others: Promise<{ status: number }>[] = [];
    const timer = setInterval(() => {
      others.push(send('sound'));
      memoryMost = Math.max(memoryMost, process.memoryUsage.rss());
    }, CALM_INTERVAL_MS);
    const result = await send('faulty');
    await until(() => isClosed);
    clearInterval(timer);
    const statuses = (await Promise.all(others)).map(({ status }) => status);
    expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
    expect(memoryMost - memoryBefore).to.be.below(MAX_GROWTH_BYTES);
    expect(result.tookMs).to.be.below(ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS);
    return result;
  }

  for (const [what, script] of Object.entries(ENDLESS_BEFORE_BODY)) {
    it(`costs its caller a failure when it sends ${what}, and its connection`, async () => {
      expect((await sendBesideOthers(script)).status).to.be.oneOf(FAILED);
    });
  }

  it('cuts its caller off when it sends a body', async () => {
    expect((await sendBesideOthers(ENDLESS_BODY)).status).to.equal(CUT_OFF);
  });

  it('costs its caller nothing when it sends a whole answer first', async () => {
    expect((await sendBesideOthers(ENDLESS_AFTER_ANSWER)).status).to.equal(200);
  });
});

/** The same for edges and nodes, whose target sends a sound answer to others meanwhile. */
for (const [name, start] of Object.entries({ ...FRONTS, ...NODE_GATE })) {
  describe(`a target that sends bytes without end through ${name}`, function () {
    this.timeout(20_000);
    const cleanup = new Cleanup();
    let front: Front;

    before(async () => {
      front = await start(cleanup, ROUTE_TIMEOUT_MS);
      await until(async () => (await front.send(CALM)).status === 200);
    });

    after(() => cleanup.run());

    async function sendBesideCalm(script: Script) {
      let isClosed = false;
      front.target.script = (socket, arrived) => {
        if (arrived.head.startsWith('get')) {
          socket.write(answer(arrived.id, 'whole'));
          return;
        }
        socket.once('close', () => (isClosed = true));
        script(socket, arrived);
      };
      const calm: Promise<{ status: number }>[] = [];
      const timer = setInterval(() => calm.push(front.send(CALM)), CALM_INTERVAL_MS);
      const startedAt = performance.now();
      const result = await front.send(ORDER);
      const tookMs = performance.now() - startedAt;
      await until(() => isClosed);
      clearInterval(timer);
      const statuses = (await Promise.all(calm)).map(({ status }) => status);
      expect(statuses.filter((status) => status !== 200)).to.deep.equal([]);
      expect(tookMs).to.be.below(ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS);
      return result;
    }

    for (const [what, script] of Object.entries(ENDLESS_BEFORE_BODY)) {
      it(`costs its caller a failure when it sends ${what}, and its connection`, async () => {
        const { status, looksWhole } = await sendBesideCalm(script);
        if (name in NODE_GATE && !looksWhole) return;
        expect(status).to.be.oneOf(FAILED);
        expect(looksWhole).to.equal(true);
      });
    }

    it('cuts its caller off when it sends a body', async () => {
      expect((await sendBesideCalm(ENDLESS_BODY)).looksWhole).to.equal(false);
    });

    it('costs its caller nothing when it sends a whole answer first', async () => {
      const { status, looksWhole } = await sendBesideCalm(ENDLESS_AFTER_ANSWER);
      expect({ status, looksWhole }).to.deep.equal({ status: 200, looksWhole: true });
    });
  });
}
