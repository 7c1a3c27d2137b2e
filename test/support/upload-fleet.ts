/**
 * Test deployment on loopback in which uploads wait for admission: an ingress, and a gate whose target has one slot and holds
 * each request until it is released. A proxy lies on the link between the two sidecars.
 */
import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { LoopbackProxy } from '../../lab/soak/loopback-proxy.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { LinkPool } from '../../src/link/link-pool.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { IGNORE_RESPONSE, LINK_CALL_CONTEXT } from './link-call.js';
import { declareFirstSet, LONE_LINK_TOKEN, startLoneControl } from './lone-control.js';
import { sidecarSettings } from './sidecar-settings.js';
import { Cleanup, until } from './processes.js';

export const UPLOAD_HOST = 'shop.example';
export const UPLOAD_PATH = '/upload/1';
/** Largest body that the ingress accepts. */
export const MAX_BODY_BYTES = 1_000_000;
export const UPLOAD_SERVICE = 'ledger';
const REPORT_INTERVAL_MS = 300;
const ROUTE_TIMEOUT_MS = 5_000;
/** Deadline of the request that occupies the slot, in milliseconds. */
const HELD_DEADLINE_MS = 10_000;
const GRACE_MS = 1_500;
const STATUS_OK = 200;

/** A request that the target is running. */
interface HeldRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/** A target that answers a request once it has been released and its body is complete. */
export class HoldingTarget {
  /** Ids of the requests that have arrived, in order. */
  readonly arrived: string[] = [];
  /** Lengths of the complete bodies, by request id. */
  readonly bodyBytes = new Map<string, number>();
  /** Whether requests are held; otherwise they are answered when their body is complete. */
  isHolding = false;
  private readonly held: HeldRequest[] = [];
  private readonly server: Server;

  constructor() {
    this.server = createServer((message, response) => void this.handle(message, response));
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Answers the held requests, and later ones at once. */
  release(): void {
    this.isHolding = false;
    for (const request of this.held.splice(0)) void this.answer(request);
  }

  /** Closes the port and all connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.arrived.push(idOf(message));
    if (this.isHolding) this.held.push({ message, response });
    else await this.answer({ message, response });
  }

  private async answer({ message, response }: HeldRequest): Promise<void> {
    let bytes = 0;
    message.on('data', (chunk: Buffer) => (bytes += chunk.length));
    await once(message, 'close');
    if (!message.complete) return;
    this.bodyBytes.set(idOf(message), bytes);
    response.setHeader('x-request-id', idOf(message));
    response.writeHead(STATUS_OK, { 'content-length': 2 }).end('ok');
  }
}

function idOf(message: IncomingMessage): string {
  return String(message.headers['x-request-id']);
}

export class UploadFleet {
  readonly target = new HoldingTarget();
  private readonly cleanup = new Cleanup();
  /** Links to the gate that do not pass the proxy. */
  private readonly directLinks = new LinkPool(LONE_LINK_TOKEN);
  private sequence = 0;

  private constructor(
    readonly ingress: Program,
    readonly gate: Program,
    /** The link from the ingress to the gate. */
    readonly link: LoopbackProxy,
  ) {}

  static async start(): Promise<UploadFleet> {
    const cleanup = new Cleanup();
    const control = await startLoneControl(cleanup);
    const [inbound] = await freePorts(1);
    const link = await LoopbackProxy.start(inbound!);
    cleanup.add(() => link.stop());
    const start = async (id: string, others: Readonly<Record<string, unknown>>) => {
      const settings = sidecarSettings(control.origins.listen, {
        ...{ id, heartbeatIntervalMs: 100, stop: { graceMs: GRACE_MS } },
        ...others,
      });
      const program = await startSidecar(settings, SILENT_LOGGER);
      cleanup.add(() => program.stop());
      return program;
    };
    const gate = await start('gate', { inbound: `127.0.0.1:${inbound}`, advertise: link.origin });
    const ingress = await start('ingress', { service: 'shop' });
    const fleet = new UploadFleet(ingress, gate, link);
    fleet.cleanup.add(() => cleanup.run());
    fleet.cleanup.add(() => fleet.directLinks.destroy());
    await fleet.begin(control);
    return fleet;
  }

  /** Origin at which clients reach the ingress. */
  get origin(): string {
    return this.ingress.origins.outbound!;
  }

  async end(): Promise<void> {
    await this.cleanup.run();
  }

  /** Number of calls that wait for admission at the gate. */
  async waiting(): Promise<number> {
    const response = await request(`${this.gate.origins.admin}/metrics`);
    const text = await response.body.text();
    return Number(/^shoredoor_admission_waiting(?:{.*})? (\d+)$/m.exec(text)?.[1]);
  }

  /** Occupies the slot of the target until it is released, by a call that does not use the link from the ingress. */
  async occupySlot(): Promise<void> {
    this.target.isHolding = true;
    const before = this.target.arrived.length;
    const context = { ...LINK_CALL_CONTEXT, service: UPLOAD_SERVICE, deadlineMs: HELD_DEADLINE_MS };
    const headers = ['X-Request-Id', 'in-the-slot'];
    const call = { context, method: 'POST', path: UPLOAD_PATH, headers, body: null };
    this.directLinks.call(this.gate.origins.inbound!, call, IGNORE_RESPONSE);
    await until(() => this.target.arrived.length > before);
  }

  /** Sends a request with a short body. @returns its status; 0 without a complete response */
  async sendSmall(id: string): Promise<number> {
    try {
      const response = await request(`${this.origin}${UPLOAD_PATH}`, {
        method: 'POST',
        headers: { host: UPLOAD_HOST, 'x-request-id': id },
        body: 'a short body',
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      return 0;
    }
  }

  private async begin(control: Program): Promise<void> {
    const { target, cleanup } = this;
    await target.listen();
    cleanup.add(() => target.stop());
    await until(() => this.declare(control));
    await this.report();
    const reports = setInterval(() => void this.report(), REPORT_INTERVAL_MS);
    cleanup.add(() => clearInterval(reports));
    await until(async () => (await this.sendSmall('first')) === STATUS_OK);
  }

  private async declare(control: Program): Promise<boolean> {
    const spec = {
      ...{ host: UPLOAD_HOST, pathPrefix: '/upload/', semantics: 'once', service: UPLOAD_SERVICE },
      ...{ timeoutMs: ROUTE_TIMEOUT_MS, objectiveMs: ROUTE_TIMEOUT_MS, rank: 0, maxTargets: 2 },
    };
    const limits = {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: MAX_BODY_BYTES },
      ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
    const resources = [
      { kind: 'Route', name: 'upload', spec },
      { kind: 'Service', name: UPLOAD_SERVICE, spec: { connections: 64 } },
      { kind: 'Ingress', name: 'default', spec: limits },
    ];
    return declareFirstSet(control.origins.listen, resources);
  }

  private async report(): Promise<void> {
    this.sequence += 1;
    const { address } = this.target;
    const state = {
      service: UPLOAD_SERVICE,
      address,
      slots: 1,
      state: 'ready',
      sequence: this.sequence,
    };
    await request(`${this.gate.origins.registration}/v1/instances/${UPLOAD_SERVICE}-1`, {
      method: 'PUT',
      body: JSON.stringify(state),
    }).then(
      ({ body }) => body.dump(),
      // The gate has already stopped.
      () => undefined,
    );
  }
}
