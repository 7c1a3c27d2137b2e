/**
 * Test deployment of a front and a back service on loopback: sidecars with targets that crash, refuse connections for a
 * while, and restart at the same address as a new incarnation. Records the requests that targets began and the crashes.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { Agent, request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { declareFirstSet, RestartableControl } from './lone-control.js';
import { sidecarSettings } from './sidecar-settings.js';
import { Cleanup, until } from './processes.js';

const LOOPBACK = '127.0.0.1';
const HOST = 'shop.example';
const HEARTBEAT_MS = 200;
const REPORT_INTERVAL_MS = 300;
const DEADLINE_MS = 2_000;
const BODY = 'whole';
const STATUS_OK = 200;
const SLOTS = 32;

/** Time from the start of a request to the crash, and from the crash to the restart. */
const CRASH_AFTER_MS = 60;
const DOWN_MS = 900;
/** Duration of a request that does not crash the target. */
const WORK_MS = 30;

export interface ClientRequest {
  /** Selects the route, and thereby the service and whether the request is repeatable. */
  readonly path: string;
  readonly body?: string;
  /** Index of the machine whose sidecar receives the request. */
  readonly machine: number;
}

/** A request that a target began to process. */
export interface BegunRun {
  readonly path: string;
  readonly body: string;
  /** `performance.now()`, in milliseconds. */
  readonly at: number;
}

export interface CrashingTargetsOptions {
  readonly fronts: number;
  readonly backs: number;
  /** Whether this request crashes the target. */
  readonly crashes: (run: BegunRun) => boolean;
  /** Path of the nested call that a target makes for a request, if any. */
  readonly callOf?: (path: string) => string | undefined;
}

export class CrashingTargets {
  readonly runs: BegunRun[] = [];
  /** `performance.now()` of each crash caused by a request. */
  readonly crashedAt: number[] = [];
  private readonly machines: CrashingTarget[] = [];
  private readonly agent = new Agent({ connections: 64 });
  private readonly cleanup = new Cleanup();
  private nextId = 0;
  private control: RestartableControl | undefined;

  private constructor(private readonly options: CrashingTargetsOptions) {}

  static async start(options: CrashingTargetsOptions): Promise<CrashingTargets> {
    const targets = new CrashingTargets(options);
    await targets.startAll();
    return targets;
  }

  async end(): Promise<void> {
    await this.cleanup.run();
  }

  /** Crashes the target of a machine without a request. */
  crash(machine: number): void {
    this.machines[machine]!.crash();
  }

  /** Stops the sidecar of a machine, awaits `between`, and starts the sidecar again. */
  async restartSidecar(machine: number, between: () => Promise<void>): Promise<void> {
    const { sidecar } = this.machines[machine]!;
    await sidecar?.stop();
    await between();
    await this.machines[machine]!.startSidecar(this.control!);
  }

  /** Restarts the control replica with its stored data. */
  async restartControl(): Promise<void> {
    await this.control?.restart();
  }

  /** Whether the sidecar of a machine reports that it is ready. */
  async isReady(machine: number): Promise<boolean> {
    const response = await request(`${this.machines[machine]!.sidecar!.origins.admin}/readyz`);
    await response.body.dump();
    return response.statusCode === STATUS_OK;
  }

  /** Sends a request. @returns the status; 0 without a complete response */
  async ask({ path, body, machine }: ClientRequest): Promise<number> {
    const { origins } = this.machines[machine]!.sidecar!;
    try {
      const response = await request(origins.outbound + path, {
        dispatcher: this.agent,
        method: body === undefined ? 'GET' : 'POST',
        body: body ?? null,
        headers: {
          host: HOST,
          'x-request-id': `client-${(this.nextId += 1)}`,
          'x-request-timeout-ms': String(DEADLINE_MS),
        },
        signal: AbortSignal.timeout(DEADLINE_MS),
      });
      await response.body.dump();
      return response.statusCode;
    } catch {
      // Connection refused or reset, or timed out: no complete response.
      return 0;
    }
  }

  /** Runs of a request that began more than `afterMs` after the third crash. */
  runsAfterThirdCrash(path: string, body: string, afterMs: number): BegunRun[] {
    const third = this.crashedAt[2] ?? Infinity;
    const isLate = (run: BegunRun): boolean => run.at > third + afterMs;
    return this.runs.filter((run) => run.path === path && run.body === body && isLate(run));
  }

  private async startAll(): Promise<void> {
    const { cleanup } = this;
    cleanup.add(() => this.agent.destroy());
    const control = await RestartableControl.start(cleanup);
    this.control = control;
    cleanup.add(async () => {
      await Promise.all(this.machines.map((machine) => machine.end()));
    });
    for (let each = 0; each < this.options.fronts; each += 1) await this.add('front', control);
    for (let each = 0; each < this.options.backs; each += 1) await this.add('back', control);
    await until(() => this.declare(control));
    for (const machine of this.machines) await until(() => this.serves(machine));
  }

  private async serves({ index, service }: CrashingTarget): Promise<boolean> {
    return (await this.ask({ path: `/${service}/warm-up`, machine: index })) === STATUS_OK;
  }

  private async add(service: string, control: RestartableControl): Promise<void> {
    const target: CrashingTarget = new CrashingTarget(
      this.machines.length,
      service,
      (message, response) => this.handle(target, message, response),
    );
    this.machines.push(target);
    await target.start(control);
  }

  private async handle(
    target: CrashingTarget,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const path = message.url ?? '';
    const body = await bodyOf(message);
    if (message.headers['x-target-instance'] !== target.instance) {
      response.writeHead(421, { 'x-request-rejected': '1' }).end();
      return;
    }
    const run = { path, body, at: performance.now() };
    this.runs.push(run);
    if (this.options.crashes(run)) {
      await pause(CRASH_AFTER_MS);
      if (!target.isUp) return;
      this.crashedAt.push(performance.now());
      target.crash();
      return;
    }
    await pause(WORK_MS);
    const call = this.options.callOf?.(path);
    const status =
      call === undefined ? STATUS_OK : await this.ask({ path: call, machine: target.index });
    response.setHeader('x-request-id', String(message.headers['x-request-id']));
    const answered = status === STATUS_OK ? STATUS_OK : 500;
    response.writeHead(answered, { 'content-length': BODY.length }).end(BODY);
  }

  private async declare(control: RestartableControl): Promise<boolean> {
    const limits = { timeoutMs: 2_000, objectiveMs: 500, rank: 0, maxTargets: 2 };
    const route = (name: string, service: string, semantics: string) => ({
      kind: 'Route',
      name,
      spec: { host: HOST, pathPrefix: `/${name}/`, semantics, service, ...limits },
    });
    const service = (name: string) => ({ kind: 'Service', name, spec: { connections: 64 } });
    const resources = [
      route('front', 'front', 'repeatable'),
      route('once', 'front', 'once'),
      route('back', 'back', 'repeatable'),
      service('front'),
      service('back'),
    ];
    return declareFirstSet(control.origin, resources);
  }
}

/** One machine: a sidecar and its target. */
class CrashingTarget {
  sidecar: Program | undefined;
  private server: Server | undefined;
  private port = 0;
  private starts = 0;
  private sequence = 0;
  private reports: NodeJS.Timeout | undefined;
  private restart: NodeJS.Timeout | undefined;
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly index: number,
    readonly service: string,
    private readonly handler: (message: IncomingMessage, response: ServerResponse) => Promise<void>,
  ) {}

  get instance(): string {
    return `target-${this.index}-${this.starts}`;
  }

  get isUp(): boolean {
    return this.server !== undefined;
  }

  async start(control: RestartableControl): Promise<void> {
    await this.startSidecar(control);
    await this.startTarget();
  }

  async startSidecar(control: RestartableControl): Promise<void> {
    const settings = sidecarSettings(control.origin, {
      id: `sidecar-${this.index}`,
      service: this.service,
      heartbeatIntervalMs: HEARTBEAT_MS,
    });
    this.sidecar = await startSidecar(settings, SILENT_LOGGER);
  }

  async end(): Promise<void> {
    this.stopTarget();
    clearTimeout(this.restart);
    await this.sidecar?.stop();
  }

  crash(): void {
    this.stopTarget();
    this.restart = setTimeout(() => void this.startTarget(), DOWN_MS);
  }

  private stopTarget(): void {
    clearInterval(this.reports);
    this.server?.close();
    this.server = undefined;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private async startTarget(): Promise<void> {
    this.starts += 1;
    const server = createServer((message, response) => void this.handler(message, response));
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(this.port, LOOPBACK, resolve));
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
    await this.report();
    this.reports = setInterval(() => void this.report(), REPORT_INTERVAL_MS);
  }

  private async report(): Promise<void> {
    this.sequence += 1;
    const { service, sequence, instance } = this;
    const address = `${LOOPBACK}:${this.port}`;
    const body = JSON.stringify({ service, address, slots: SLOTS, state: 'ready', sequence });
    await request(`${this.sidecar!.origins.registration}/v1/instances/${instance}`, {
      method: 'PUT',
      body,
    }).then(
      (response) => response.body.dump(),
      // The sidecar has already stopped at the end of the test.
      () => undefined,
    );
  }
}

async function bodyOf(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

export function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
