/** Real processes that all lose power at once and are started together again. */
import { expect } from 'chai';
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { ANY_PORT, ProgramProcess } from '../../lab/fleet/program-process.js';
import { Cleanup, until } from '../support/processes.js';
import { ScriptedTarget } from '../support/scripted-target.js';

const REPLICAS = 3;
const SIDECARS = 4;
/** Far more than the test sends. */
const RATE = 100;
const REPORT_INTERVAL_MS = 500;
/** Time from when all processes listen until each ingress has to serve, in milliseconds. */
const SERVED_WITHIN_MS = 3_000;

describe('a restart of all processes', function () {
  this.timeout(90_000);
  const cleanup = new Cleanup();
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-restart-'));
  const sidecars: ProgramProcess[] = [];
  let processes: ProgramProcess[] = [];
  let targets: ScriptedTarget[];
  let seeds: string[];
  let sequence = 0;
  let nextId = 0;

  before(async () => {
    targets = await Promise.all(Array.from({ length: SIDECARS }, () => ScriptedTarget.start()));
    cleanup.add(() => targets.forEach((target) => target.stop()));
    const ports = await freePorts(REPLICAS);
    seeds = ports.map((port) => `http://127.0.0.1:${port}`);
    await startAll(replicas(ports, true));
    const reports = setInterval(() => void report(), REPORT_INTERVAL_MS);
    cleanup.add(() => clearInterval(reports));
    await until(async () => (await Promise.all(seeds.map(declare))).includes(200));
    for (let index = 0; index < SIDECARS; index += 1) await until(() => isServed(index));
    await until(hasRecordedCeilings);
  });

  after(() => cleanup.run());

  function replicas(ports: readonly number[], bootstrap: boolean): ProgramProcess[] {
    return ports.map((port, index) => {
      const listen = { host: '127.0.0.1', port };
      const dataDir = join(workDir, `data-${index}`);
      const common = { listen, advertise: seeds[index], seeds, voters: REPLICAS, dataDir };
      const more = { bootstrap, electionTimeoutMs: 600, claims: false, declarations: 'open' };
      return new ProgramProcess(`control-${index}`, 'control', workDir, { ...common, ...more });
    });
  }

  async function startAll(control: readonly ProgramProcess[]): Promise<void> {
    const ingresses = targets.map(({ address }, index) => {
      const listen = { inbound: ANY_PORT, outbound: ANY_PORT, registration: ANY_PORT };
      const more = {
        service: 'ledger',
        target: address,
        control: seeds,
        heartbeatIntervalMs: 1_000,
      };
      return new ProgramProcess(`sidecar-${index}`, 'sidecar', workDir, { ...listen, ...more });
    });
    const all = [...control, ...ingresses];
    const starts = all.map((process) => process.start());
    cleanup.add(async () => {
      // If one does not start, the others may still be starting.
      await Promise.allSettled(starts);
      await Promise.allSettled(all.map(async (process) => process.kill()));
    });
    await Promise.all(starts);
    sidecars.splice(0, SIDECARS, ...ingresses);
    processes = all;
  }

  /** @returns the status, 200 from the leader alone */
  async function declare(origin: string): Promise<number> {
    const place = { host: 'shop.example', pathPrefix: '/read/', semantics: 'repeatable' };
    const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank: 0, maxTargets: 2 };
    const spec = { keys: ['key-1'], ratePerSecond: RATE, burst: RATE };
    const resources = [
      { kind: 'Route', name: 'read', spec: { ...place, ...limits, service: 'ledger' } },
      { kind: 'Service', name: 'ledger', spec: { connections: 8 } },
      { kind: 'Group', name: 'tenant', spec },
    ];
    const response = await request(`${origin}/v1/declarations`, {
      method: 'PUT',
      headers: { 'if-match': '0' },
      body: JSON.stringify({ version: 1, resources }),
    });
    await response.body.dump();
    return response.statusCode;
  }

  async function report(): Promise<void> {
    sequence += 1;
    const reports = targets.map(async ({ address }, index) => {
      const body = { service: 'ledger', address, slots: 16, state: 'ready', sequence };
      const origin = sidecars[index]!.origin('registration');
      const response = await request(`${origin}/v1/instances/i-${index}`, {
        method: 'PUT',
        body: JSON.stringify(body),
      });
      await response.body.dump();
    });
    // A sidecar that has no power refuses connections.
    await Promise.allSettled(reports);
  }

  async function isServed(index: number): Promise<boolean> {
    nextId += 1;
    const headers = { host: 'shop.example', 'x-request-id': `r-${nextId}`, 'x-api-key': 'key-1' };
    const response = await request(`${sidecars[index]!.origin('outbound')}/read/x`, { headers });
    await response.body.dump();
    return response.statusCode === 200;
  }

  function hasRecordedCeilings(): boolean {
    return Array.from({ length: REPLICAS }, (_, index) =>
      readFileSync(join(workDir, `control-${index}.log`), 'utf8'),
    ).some((lines) => lines.includes('Recorded the ceilings of quotas.'));
  }

  it('serves groups within their rates as soon as there is a leader', async () => {
    await Promise.all(processes.map((process) => process.kill()));
    const ports = seeds.map((seed) => Number(new URL(seed).port));
    await startAll(replicas(ports, false));
    const startedAt = performance.now();
    const servedAfterMs = Array.from({ length: SIDECARS }, async (_, index) => {
      await until(() => isServed(index));
      return performance.now() - startedAt;
    });
    for (const waitedMs of await Promise.all(servedAfterMs)) {
      expect(waitedMs).to.be.at.most(SERVED_WITHIN_MS);
    }
  });
});
