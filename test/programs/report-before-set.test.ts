import { expect } from 'chai';
import { request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

/**
 * Guards against rejecting (422) the reports of targets that start before an operator declares the first set, when the store
 * that the sidecar follows is still empty.
 */
describe('a target that reports itself before the first set is declared', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();

  after(() => cleanup.run());

  it('is believed', async () => {
    const control = await startLoneControl(cleanup);
    const sidecar = await startSidecar(
      sidecarSettings(control.origins.listen, { stop: { drainMs: 0, timeoutMs: 0 } }),
      SILENT_LOGGER,
    );
    cleanup.add(() => sidecar.stop());
    // Once ready, the sidecar has synced with the empty store.
    await until(async () => (await request(`${sidecar.origins.admin}/readyz`)).statusCode === 200);
    const report = { address: '127.0.0.1:9', slots: 8, state: 'ready', sequence: 1, born: 1_000 };
    const response = await request(`${sidecar.origins.registration}/v1/instances/i-1`, {
      method: 'PUT',
      body: JSON.stringify({ ...report, service: 'ledger' }),
    });
    await response.body.dump();
    expect(response.statusCode).to.equal(200);
  });
});
