/**
 * A control machine that loses power drops its connections without resetting them. Guards against followers that wait on
 * such a connection and apply the next change too late.
 */
import { expect } from 'chai';
import { request } from 'undici';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { startLoneControl } from '../support/lone-control.js';
import { LoopbackProxy } from '../../lab/soak/loopback-proxy.js';
import { Cleanup, until } from '../support/processes.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

/** Maximum time until a confirmed change is applied everywhere, as stated in docs/PROOFS.md. */
const IN_FORCE_MS = 2_000;

describe('a sidecar whose control machine has lost power', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();
  let proxy: LoopbackProxy;
  let ingressOrigin: string;

  beforeEach(async () => {
    const [port] = await freePorts(1);
    proxy = await LoopbackProxy.start(port!);
    cleanup.add(() => proxy.stop());
    await startLoneControl(cleanup, `127.0.0.1:${port}`, proxy.origin);
    await until(() => declare(1, 0, 'first'));
    const sidecar = await startSidecar(
      sidecarSettings(proxy.origin, {
        heartbeatIntervalMs: 1_000,
        stop: { drainMs: 0, timeoutMs: 0 },
      }),
      SILENT_LOGGER,
    );
    cleanup.add(() => sidecar.stop());
    ingressOrigin = sidecar.origins.outbound!;
    await until(() => knows('first'));
  });

  afterEach(() => cleanup.run());

  /** Declares a set with the single route `name`. Returns false while control has no leader. */
  async function declare(version: number, base: number, name: string): Promise<boolean> {
    const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank: 0, maxTargets: 1 };
    const place = { host: 'shop.example', pathPrefix: `/${name}/`, service: 'ledger' };
    const spec = { ...place, semantics: 'repeatable', ...limits };
    const resources = [
      { kind: 'Route', name, spec },
      { kind: 'Service', name: 'ledger', spec: { connections: 8 } },
    ];
    const response = await request(`${proxy.origin}/v1/declarations`, {
      method: 'PUT',
      headers: { 'if-match': String(base), connection: 'close' },
      body: JSON.stringify({ version, resources }),
    });
    await response.body.dump();
    return response.statusCode === 200;
  }

  /** Whether the sidecar has the route `name`. As it has no target, the response is `unavailable`. */
  async function knows(name: string): Promise<boolean> {
    const response = await request(`${ingressOrigin}/${name}/1`, {
      headers: { host: 'shop.example' },
    });
    return (await response.body.text()).includes('urn:shoredoor:problem:unavailable');
  }

  it('applies what control accepts afterwards in time', async () => {
    proxy.forgetConnections();
    expect(await declare(2, 1, 'second')).to.equal(true);
    const confirmedAt = performance.now();
    await until(() => knows('second'));
    expect(performance.now() - confirmedAt).to.be.below(IN_FORCE_MS);
  });
});
