import { expect } from 'chai';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { CapturedLines } from '../support/captured-lines.js';
import { declareFirstSet, startLoneControl } from '../support/lone-control.js';
import { Cleanup, until } from '../support/processes.js';
import { sidecarSettings } from '../support/sidecar-settings.js';

const SERVICE = 'ledger';
const HOST = 'shop.example';
const INSTANCE = 'i-1';
const BORN = 1_000;
const REQUESTS = 5;

/** A target whose health check waits until it is released. */
class SlowlyProbedTarget {
  requests = 0;
  isProbed = false;
  private release: () => void = () => undefined;
  private readonly released = new Promise<void>((resolve) => (this.release = resolve));
  private readonly server = createServer(
    (message, response) => void this.handle(message, response),
  );

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  answerHealthChecks(): void {
    this.release();
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { instanceId, load, requestId } = DEFAULT_TARGET_HEADERS;
    if (message.url === '/health') {
      this.isProbed = true;
      await this.released;
      response.writeHead(200, { [instanceId]: INSTANCE, [load]: '0,0,8' }).end();
      return;
    }
    this.requests += 1;
    response.writeHead(200, { [requestId]: String(message.headers[requestId]) }).end('whole');
  }
}

function firstSet(): unknown[] {
  const place = { host: HOST, pathPrefix: '/read/', semantics: 'repeatable', service: SERVICE };
  const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank: 1, maxTargets: 2 };
  return [
    { kind: 'Route', name: 'read', spec: { ...place, ...limits } },
    { kind: 'Service', name: SERVICE, spec: { connections: 64, healthCheckPath: '/health' } },
  ];
}

/** Guards against sending requests to a target that left while a restarted sidecar waited for its health check. */
describe('a target that deregisters while its health check is under way', function () {
  this.timeout(20_000);
  const cleanup = new Cleanup();

  after(() => cleanup.run());

  it('gets no requests when the health check succeeds afterwards', async () => {
    const target = new SlowlyProbedTarget();
    await target.listen();
    cleanup.add(() => target.stop());
    const control = await startLoneControl(cleanup);
    await until(() => declareFirstSet(control.origins.listen, firstSet()));
    const captured = new CapturedLines('sidecar', 'departure-during-probe');
    cleanup.add(() => captured.end());
    const settings = sidecarSettings(control.origins.listen, {
      service: SERVICE,
      target: target.address,
      stop: { drainMs: 0, timeoutMs: 0 },
    });
    const sidecar = await startSidecar(settings, captured.logger);
    cleanup.add(() => sidecar.stop());
    await until(() => target.isProbed);

    const left = await request(`${sidecar.origins.registration}/v1/instances/${INSTANCE}`, {
      method: 'DELETE',
      body: JSON.stringify({ born: BORN }),
    });
    await left.body.dump();
    expect(left.statusCode).to.equal(200);
    target.answerHealthChecks();
    await until(() => captured.lines.some(({ msg }) => String(msg).includes('Probed the health')));

    const statuses: number[] = [];
    for (let sent = 0; sent < REQUESTS; sent += 1) {
      const headers = { host: HOST, 'x-request-id': `q-${sent}` };
      const answer = await request(`${sidecar.origins.outbound}/read/1`, { headers });
      await answer.body.dump();
      statuses.push(answer.statusCode);
    }
    expect(target.requests).to.equal(0);
    expect(statuses).to.deep.equal(Array(REQUESTS).fill(503));
  });
});
