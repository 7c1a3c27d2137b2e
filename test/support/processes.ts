/** Starts a small deployment inside the test process: control, a node with a target, and an edge. */
import { hash } from 'node:crypto';
import { mkdtemp } from 'node:fs/promises';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startControl } from '../../src/programs/control-program.js';
import { startEdge } from '../../src/programs/edge-program.js';
import { startNode } from '../../src/programs/node-program.js';
import { ResourceClient } from '../../src/client/resource-client.js';
import {
  controlSettingsSchema,
  edgeSettingsSchema,
  nodeSettingsSchema,
} from '../../src/settings/schemas.js';

const ANY_PORT = { host: '127.0.0.1', port: 0 };
const LINK_TOKEN = 'test-link-token-0123456789';
export const OPERATOR_TOKEN = 'test-operator-token';
export const READER_TOKEN = 'test-reader-token';

/** Collects cleanup functions and runs them in reverse order. */
export class Cleanup {
  private readonly steps: (() => Promise<void> | void)[] = [];

  add(step: () => Promise<void> | void): void {
    this.steps.push(step);
  }

  async run(): Promise<void> {
    for (const step of this.steps.reverse()) await step();
    this.steps.length = 0;
  }
}

/** Starts a plain HTTP server as a target. */
export async function startTarget(cleanup: Cleanup, listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  cleanup.add(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Address and data folder of a control replica. */
export interface TestReplica {
  readonly id: string;
  readonly origin: string;
  readonly dataDir: string;
  readonly role?: 'voter' | 'learner';
}

/** Allocates addresses and data folders for control replicas. */
export async function planReplicas(count: number): Promise<TestReplica[]> {
  const root = await mkdtemp(join(tmpdir(), 'shoredoor-'));
  const ports = await freePorts(count);
  return ports.map((port, index) => ({
    id: `control-${index + 1}`,
    origin: `http://127.0.0.1:${port}`,
    dataDir: join(root, `control-${index + 1}`),
  }));
}

/** Starts one of the planned replicas with a write token and a read-only token. */
export async function startReplica(
  cleanup: Cleanup,
  replicas: readonly TestReplica[],
  self: TestReplica,
): Promise<Program> {
  const program = await startControl(
    controlSettingsSchema.parse({
      id: self.id,
      zone: 'zone-a',
      admin: ANY_PORT,
      listen: { host: '127.0.0.1', port: Number(new URL(self.origin).port) },
      linkToken: LINK_TOKEN,
      dataDir: self.dataDir,
      electionTimeoutMs: 300,
      replicas: replicas.map(({ id, origin, role }) => ({ id, origin, role })),
      tokens: [
        { name: 'writer', role: 'write', tokenHash: hash('sha256', OPERATOR_TOKEN, 'hex') },
        { name: 'reader', role: 'read', tokenHash: hash('sha256', READER_TOKEN, 'hex') },
      ],
    }),
    SILENT_LOGGER,
  );
  cleanup.add(() => program.stop());
  return program;
}

/** Starts a single control replica. */
export async function startTestControl(cleanup: Cleanup): Promise<Program> {
  const replicas = await planReplicas(1);
  return startReplica(cleanup, replicas, replicas[0]!);
}

/** Creates a client with the write token that may send requests to any of the replicas. */
export function clientOf(replicas: readonly TestReplica[]): ResourceClient {
  return new ResourceClient({
    origins: replicas.map((replica) => replica.origin),
    token: OPERATOR_TOKEN,
  });
}

/** Creates a client with the write token. */
export function operatorClient(control: Program): ResourceClient {
  return new ResourceClient({ origins: [control.origins.listen!], token: OPERATOR_TOKEN });
}

/** Starts a node for a target. */
export async function startTestNode(
  cleanup: Cleanup,
  control: Program,
  service: string,
  targetOrigin: string,
  id = `${service}-1`,
): Promise<Program> {
  const program = await startNode(
    nodeSettingsSchema.parse({
      id,
      zone: 'zone-a',
      service,
      admin: ANY_PORT,
      inbound: ANY_PORT,
      outbound: ANY_PORT,
      target: { origin: targetOrigin },
      control: [control.origins.listen],
      linkToken: LINK_TOKEN,
      stop: { drainMs: 0, timeoutMs: 0 },
    }),
    SILENT_LOGGER,
  );
  cleanup.add(() => program.stop());
  return program;
}

/** Starts an edge. @param stop how it is stopped */
export async function startTestEdge(
  cleanup: Cleanup,
  control: Program,
  stop = { drainMs: 0, timeoutMs: 5_000 },
): Promise<Program> {
  const program = await startEdge(
    edgeSettingsSchema.parse({
      id: 'edge-1',
      zone: 'zone-a',
      admin: ANY_PORT,
      listen: ANY_PORT,
      control: [control.origins.listen],
      linkToken: LINK_TOKEN,
      stop,
    }),
    SILENT_LOGGER,
  );
  cleanup.add(() => program.stop());
  return program;
}

/** Polls until `condition` is true. Relies on the test's timeout. */
export async function until(condition: () => Promise<boolean> | boolean): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Waits until a program is ready. */
export async function untilReady(program: Program): Promise<void> {
  await until(async () => {
    const response = await request(`${program.origins.admin}/readyz`);
    await response.body.dump();
    return response.statusCode === 200;
  });
}
