import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';
import { answer, ScriptedTarget } from '../support/scripted-target.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

const ROUTE = {
  host: 'shop.example',
  pathPrefix: '/',
  semantics: 'once',
  service: 'ledger',
  timeoutMs: 2_000,
  objectiveMs: 1_000,
  rank: 0,
  maxTargets: 2,
};
const SET = [
  { kind: 'Route', name: 'accept', spec: ROUTE },
  { kind: 'Service', name: 'ledger', spec: { connections: 8 } },
];

describe('the load that a target reports in its answers', () => {
  const cleanup = new Cleanup();

  after(() => cleanup.run());

  it('is shown in the metrics of the sidecar beside it', async () => {
    const control = await startLoneControl(cleanup);
    const target = await ScriptedTarget.start();
    cleanup.add(() => target.stop());
    target.script = (socket, { id }) => socket.write(answer(id, 'ok', 'x-load: 5,2,40,160\r\n'));
    const settings = sidecarSettings(control.origins.listen, { heartbeatIntervalMs: 100 });
    const sidecar = await startSidecar(settings, SILENT_LOGGER);
    cleanup.add(() => sidecar.stop());
    const { registration, outbound, admin } = sidecar.origins;
    const send = async (url: string, method: 'GET' | 'PUT', body?: unknown, headers = {}) => {
      const payload = body === undefined ? null : JSON.stringify(body);
      const response = await request(url, { method, headers, body: payload });
      return { status: response.statusCode, text: await response.body.text() };
    };
    const set = { version: 1, resources: SET };
    const declare = () =>
      send(`${control.origins.listen}/v1/declarations`, 'PUT', set, { 'if-match': '0' });
    await until(async () => (await declare()).status === 200);
    const { address } = target;
    const report = { service: 'ledger', address, slots: 40, state: 'ready', sequence: 1 };
    await send(`${registration}/v1/instances/i-1`, 'PUT', report);
    const scrape = async (): Promise<string[]> => {
      await send(`${outbound}/read`, 'GET', undefined, {
        host: 'shop.example',
        'x-request-id': 'q-1',
      });
      const { text } = await send(`${admin}/metrics`, 'GET');
      return text
        .split('\n')
        .filter((line) => /^shoredoor_target_(running|waiting|slow)/.test(line));
    };
    const expected = [
      'shoredoor_target_running 5',
      'shoredoor_target_slowdown 1.6',
      'shoredoor_target_waiting 2',
    ];
    // A busy machine may take longer for a scrape than the report is valid.
    await until(async () => (await scrape()).sort().join() === expected.join());
  });
});
