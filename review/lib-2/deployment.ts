/** A small deployment on loopback: control replicas, and machines with a sidecar each. */
import { mkdtempSync, rmSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { answersOk, RoleProcess, until } from './processes.ts';

const HOST = '127.0.0.1';
const ZONE = 'zone-a';
const START_MS = 20_000;
const ANSWER_WITHIN_MS = 1_000;
/** Ports below the ephemeral range, so that a restarted process finds its own again. */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
const STRIDE = 131;

let nextPort = FIRST_PORT + ((process.pid * STRIDE) % (LAST_PORT - FIRST_PORT));

/** The configuration of the cases apart from routes and services; the figures are those of the pages. */
export const INGRESS_RESOURCE = {
  kind: 'Ingress',
  meta: {},
  spec: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 67_108_864,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

export function serviceResource(name: string): object {
  const spec = { healthCheckPath: '/health', connections: 580, protocol: 'h1', tls: false };
  return { kind: 'Service', meta: { name }, spec };
}

function isFree(port: number): Promise<boolean> {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, HOST, () => server.close(() => done(true)));
  });
}

/** Returns an address with a free port. */
export async function freeAddress(): Promise<string> {
  for (;;) {
    const port = nextPort;
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    if (await isFree(port)) return `${HOST}:${port}`;
  }
}

interface PutAnswer {
  /** 0 if there was no answer. */
  readonly status: number;
  readonly location: string | undefined;
}

function putOnce(origin: string, version: number, resources: object[]): Promise<PutAnswer> {
  return new Promise((done) => {
    const body = JSON.stringify({ version, resources });
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
      'If-Match': '0',
    };
    const options = { method: 'PUT', headers, timeout: ANSWER_WITHIN_MS, agent: false };
    const asked = request(`${origin}/v1/declarations`, options, (answer) => {
      answer.resume();
      done({ status: answer.statusCode ?? 0, location: answer.headers.location });
    });
    asked.once('error', () => done({ status: 0, location: undefined }));
    asked.once('timeout', () => asked.destroy());
    asked.end(body);
  });
}

export class Deployment {
  readonly sidecars: RoleProcess[] = [];
  readonly controls: RoleProcess[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));
  private readonly bounds: Readonly<Record<string, unknown>>;
  private seeds: string[] = [];

  /** @param bounds bounds of the site */
  constructor(bounds: Readonly<Record<string, unknown>>) {
    this.bounds = bounds;
  }

  async startControl(count: number): Promise<void> {
    const addresses: string[] = [];
    for (let index = 0; index < count; index += 1) addresses.push(await freeAddress());
    this.seeds = addresses.slice(0, 3);
    for (const [index, address] of addresses.entries()) {
      const node = `core-${index + 1}`;
      const fields = {
        node,
        zone: ZONE,
        ip: HOST,
        listen: { control: address },
        internal_port_range: [Number((await freeAddress()).split(':')[1])],
        seeds: this.seeds,
        bootstrap: true,
        data_directory: join(this.folder, node),
        bounds: this.bounds,
      };
      const replica = new RoleProcess('control', fields, this.folder);
      this.controls.push(replica);
      replica.start();
    }
  }

  /** Starts the sidecar of a machine. */
  async startSidecar(
    node: string,
    service: string,
    applicationAddress: string,
  ): Promise<RoleProcess> {
    const fields = {
      node,
      zone: ZONE,
      service,
      listen: {
        inbound: await freeAddress(),
        outbound: await freeAddress(),
        ready: await freeAddress(),
        control: await freeAddress(),
      },
      application_address: applicationAddress,
      seeds: this.seeds,
      bounds: this.bounds,
    };
    const sidecar = new RoleProcess('sidecar', fields, this.folder);
    this.sidecars.push(sidecar);
    sidecar.start();
    return sidecar;
  }

  /** Sends the first configuration until it is acknowledged. @throws after `timeoutMs` */
  async put(version: number, resources: object[], timeoutMs = START_MS): Promise<void> {
    let origin = `http://${this.seeds[0] ?? ''}`;
    let turn = 0;
    const attempt = async (): Promise<boolean> => {
      const { status, location } = await putOnce(origin, version, resources);
      if (status === 200) return true;
      turn += 1;
      const next = this.seeds[turn % this.seeds.length] ?? '';
      origin = location === undefined ? `http://${next}` : new URL(location).origin;
      return false;
    };
    await until(attempt, timeoutMs, `acknowledgement of configuration ${version}`);
  }

  async untilReady(sidecar: RoleProcess): Promise<void> {
    const isReady = (): Promise<boolean> => answersOk(sidecar.address('ready'), '/readyz');
    await until(isReady, START_MS, `${sidecar.fields.node} is ready`);
  }

  /** Ends all processes and removes their files. */
  async end(): Promise<void> {
    await Promise.all([...this.sidecars, ...this.controls].map((each) => each.kill()));
    rmSync(this.folder, { recursive: true, force: true });
  }
}
