/* eslint-disable @typescript-eslint/explicit-module-boundary-types -- types of plain JavaScript stand in JSDoc */
/** A small deployment on loopback: control replicas, and sidecars with one target each. */
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Program } from './program.mjs';
import { Target } from './target.mjs';

const HOST = '127.0.0.1';
const ZONE = 'zone-a';
/** The bounds of a small deployment of the users' pages, in the units that the platform fills in. */
const BOUNDS = {
  retry_budget_ratio: 0.2,
  budget_window: 10,
  retry_budget_slack: 57,
  grace: 6,
};
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

/** Below the range from which the system takes ports of outgoing connections, so that none takes a port during a restart. */
const FIRST_PORT = 20_000;
const PORTS = 12_000;
/** Spreads the first port by process, so that cases that run at the same time probe different ones. */
const STRIDE = 97;
let probed = (process.pid * STRIDE) % PORTS;

/**
 * Returns ports that are not in use; none is returned twice.
 * @param {number} count
 * @returns {Promise<number[]>}
 */
export async function freePorts(count) {
  /** @type {number[]} */
  const ports = [];
  for (let tried = 0; ports.length < count; tried += 1) {
    if (tried > PORTS) throw new Error('no free port is left');
    const port = FIRST_PORT + probed;
    probed = (probed + 1) % PORTS;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

/**
 * @param {number} port
 * @returns {Promise<boolean>}
 */
function isFree(port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });
}

/**
 * @typedef {object} Machine
 * @property {Program} sidecar
 * @property {Target} target
 * @property {string} outbound address for clients, `HOST:PORT`
 * @property {string} ready
 */

export class Deployment {
  folder = mkdtempSync(join(tmpdir(), 'shoredoor-review-'));
  /** @type {Program[]} */
  cores = [];
  /** Addresses of all control replicas. @type {string[]} */
  origins = [];
  /** The three of them that processes are told. @type {string[]} */
  seeds = [];
  /** @type {Machine[]} */
  machines = [];
  version = 0;

  /** @param {import('./record.mjs').Record} record */
  constructor(record) {
    this.record = record;
  }

  /**
   * Starts control.
   * @param {number} count
   */
  async startControl(count) {
    await this.planControl(count);
    for (const core of this.cores) core.start();
  }

  /**
   * Chooses addresses and data folders of control replicas, without starting them.
   * @param {number} count
   */
  async planControl(count) {
    const ports = await freePorts(2 * count);
    const origins = ports.slice(0, count).map((port) => `${HOST}:${port}`);
    this.origins = origins;
    this.seeds = origins.slice(0, 3);
    origins.forEach((control, index) => {
      const node = `core-${index + 1}`;
      const data = this.newDisk(node);
      this.cores.push(
        new Program(
          'control',
          this.fields(node, { control }, data, ports[count + index]),
          this.folder,
          this.record,
        ),
      );
    });
  }

  /**
   * Creates an empty data folder.
   * @param {string} node
   */
  newDisk(node) {
    return mkdtempSync(join(this.folder, `data-${node}-`));
  }

  /**
   * Adds a machine: a target of a service, and the sidecar beside it.
   * @param {string} service
   * @param {import('./target.mjs').TargetOptions} options
   */
  async addMachine(service, options) {
    const number = this.machines.length + 1;
    const [inbound, outbound, ready, control, app] = (await freePorts(5)).map(
      (port) => `${HOST}:${port}`,
    );
    const target = new Target(
      { ...options, id: `i-${number}`, service, address: app ?? '', registration: control ?? '' },
      this.record,
    );
    await target.listen();
    const listen = { inbound, outbound, ready, control };
    const fields = this.fields(`sidecar-${number}`, listen, null, 0);
    const sidecar = new Program(
      'sidecar',
      { ...fields, service, application_address: app },
      this.folder,
      this.record,
    );
    sidecar.start();
    this.machines.push({ sidecar, target, outbound: outbound ?? '', ready: ready ?? '' });
  }

  /**
   * @param {string} node
   * @param {Readonly<Record<string, string | undefined>>} listen
   * @param {string | null} data
   * @param {number | undefined} adminPort
   */
  fields(node, listen, data, adminPort) {
    return {
      node,
      zone: ZONE,
      ip: HOST,
      listen,
      internal_port_range: [adminPort, adminPort],
      seeds: this.seeds,
      bootstrap: true,
      data_directory: data,
      bounds: BOUNDS,
    };
  }

  /**
   * Puts a whole configuration, again and again until it is acknowledged.
   * @param {readonly { name: string, spec: object }[]} routes
   * @param {number} withinMs
   */
  async declare(routes, withinMs = 30_000) {
    const services = [...new Set(this.machines.map(({ target }) => target.options.service))];
    const base = this.version;
    this.version += 1;
    const body = JSON.stringify({
      version: this.version,
      resources: [
        ...routes.map(({ name, spec }) => ({ kind: 'Route', meta: { name }, spec })),
        ...services.map((name) => ({
          kind: 'Service',
          meta: { name },
          spec: { healthCheckPath: '/health', connections: 400 },
        })),
        { kind: 'Ingress', meta: {}, spec: LIMITS },
      ],
    });
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
      for (const seed of this.origins) {
        const status = await this.put(`http://${seed}/v1/declarations`, base, body);
        if (status === 200) {
          this.record.add(`ACKNOWLEDGED configuration ${this.version}`);
          return;
        }
      }
      await sleep(100);
    }
    throw new Error('the configuration was not acknowledged');
  }

  /**
   * @param {string} url
   * @param {number} base
   * @param {string} body
   */
  async put(url, base, body) {
    try {
      const headers = { 'if-match': String(base), 'content-type': 'application/json' };
      const signal = AbortSignal.timeout(2_000);
      const response = await fetch(url, { method: 'PUT', headers, body, signal });
      await response.text();
      return response.status;
    } catch {
      return 0;
    }
  }

  /** Waits until all sidecars are ready and all targets have reported. */
  async untilReady() {
    for (let tries = 0; tries < 200; tries += 1) {
      const states = await Promise.all(this.machines.map(({ ready }) => isReady(ready)));
      if (states.every(Boolean) && this.machines.every(({ target }) => target.isAcknowledged))
        return;
      await sleep(100);
    }
    throw new Error('the deployment did not become ready');
  }

  /** Ends everything that was started, and removes the folder. */
  async stop() {
    await Promise.all(
      [...this.cores, ...this.machines.map(({ sidecar }) => sidecar)].map((program) =>
        program.kill(),
      ),
    );
    for (const { target } of this.machines) target.stop();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** @param {string} address */
async function isReady(address) {
  try {
    const response = await fetch(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(1_000),
    });
    await response.text();
    return response.status === 200;
  } catch {
    return false;
  }
}
