/** Sidecars with {@link AnnouncingTarget}s of one service, a control replica, and clients that send at a steady rate. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import type { Program } from '../../src/programs/program.js';
import { startSidecar } from '../../src/programs/sidecar-program.js';
import { AnnouncingTarget } from './announcing-target.js';
import { declareFirstSet, startLoneControl } from './lone-control.js';
import { Cleanup, until } from './processes.js';
import { sidecarSettings } from './sidecar-settings.js';

const SERVICE = 'ledger';
const HOST = 'shop.example';
const REPORT_INTERVAL_MS = 200;
const MS_PER_SECOND = 1_000;

/** Routes by importance: rank 0 is the most urgent. */
export const ROUTE_RANKS = { urgent: 0, usual: 2 } as const;
export type RouteName = keyof typeof ROUTE_RANKS;

/** Which requests are sent, and where. */
interface Sending {
  readonly route?: RouteName;
  readonly to?: readonly number[];
}

/** The answer to one request of a client. */
export interface ClientAnswer {
  readonly status: number;
  /** Value of `Retry-After` in seconds; undefined if it is absent. */
  readonly retryAfterSeconds: number | undefined;
}

export class AnnouncingFleet {
  readonly targets: AnnouncingTarget[] = [];
  private readonly cleanup = new Cleanup();
  private readonly sidecars: Program[] = [];
  private readonly agent = new Agent();
  private controlOrigin = '';
  private sequence = 0;
  private nextId = 0;

  /** Starts the fleet and waits until each ingress is served. */
  static async start(machines: number): Promise<AnnouncingFleet> {
    const fleet = new AnnouncingFleet();
    const control = await startLoneControl(fleet.cleanup);
    fleet.controlOrigin = control.origins.listen!;
    for (let index = 0; index < machines; index += 1) await fleet.addMachine(index);
    const timer = setInterval(() => void fleet.report(), REPORT_INTERVAL_MS);
    fleet.cleanup.add(() => clearInterval(timer));
    await until(() => fleet.declare());
    await fleet.report();
    for (let index = 0; index < machines; index += 1) {
      await until(async () => (await fleet.send(index, 'usual')).status === 200);
    }
    return fleet;
  }

  async stop(): Promise<void> {
    await this.cleanup.run();
    await Promise.all(this.sidecars.map((sidecar) => sidecar.stop()));
    for (const target of this.targets) target.stop();
    await this.agent.destroy();
  }

  /** Replaces a sidecar by a new process without state; the target beside it goes on. */
  async restart(index: number): Promise<void> {
    await this.sidecars[index]!.stop();
    this.sidecars[index] = await this.startSidecar(index);
    await this.report();
  }

  /**
   * Sends requests to several ingresses in turn.
   * @param to indexes of their machines; all by default
   * @returns the answers, in the order of the requests
   */
  async sendFor(
    durationMs: number,
    perSecond: number,
    { route = 'usual', to = [...this.targets.keys()] }: Sending = {},
  ): Promise<ClientAnswer[]> {
    const answers: Promise<ClientAnswer>[] = [];
    const from = performance.now();
    for (let sent = 0; performance.now() < from + durationMs; sent += 1) {
      answers.push(this.send(to[sent % to.length]!, route));
      await sleep(Math.max(0, from + ((sent + 1) * MS_PER_SECOND) / perSecond - performance.now()));
    }
    return Promise.all(answers);
  }

  /** Sends one request to the ingress of a machine. */
  async send(index: number, route: RouteName): Promise<ClientAnswer> {
    try {
      const { statusCode, headers, body } = await request(
        `${this.sidecars[index]!.origins.outbound}/${route}/1`,
        {
          dispatcher: this.agent,
          headers: { host: HOST, 'x-request-id': `q-${(this.nextId += 1)}` },
        },
      );
      await body.dump();
      const retryAfter = headers['retry-after'];
      const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
      return { status: statusCode, retryAfterSeconds };
    } catch {
      return { status: 0, retryAfterSeconds: undefined };
    }
  }

  private async addMachine(index: number): Promise<void> {
    this.targets.push(await AnnouncingTarget.start(`i-${index}`));
    this.sidecars.push(await this.startSidecar(index));
  }

  private startSidecar(index: number): Promise<Program> {
    return startSidecar(
      sidecarSettings(this.controlOrigin, {
        id: `sidecar-${index}`,
        service: SERVICE,
        target: this.targets[index]!.address,
        heartbeatIntervalMs: REPORT_INTERVAL_MS,
        fractionalRetryAfter: true,
        stop: { drainMs: 0, timeoutMs: 0 },
      }),
      SILENT_LOGGER,
    );
  }

  private async declare(): Promise<boolean> {
    const routes = Object.entries(ROUTE_RANKS).map(([name, rank]) => {
      const place = { host: HOST, pathPrefix: `/${name}/`, semantics: 'repeatable' };
      const limits = { timeoutMs: 2_000, objectiveMs: 1_000, rank, maxTargets: 2 };
      return { kind: 'Route', name, spec: { ...place, ...limits, service: SERVICE } };
    });
    const spec = { connections: 64, healthCheckPath: '/health' };
    const resources = [...routes, { kind: 'Service', name: SERVICE, spec }];
    return declareFirstSet(this.controlOrigin, resources);
  }

  private async report(): Promise<void> {
    this.sequence += 1;
    const { sequence } = this;
    const reports = this.targets.map(async ({ instance, address, slots }, index) => {
      const origin = this.sidecars[index]!.origins.registration;
      const response = await request(`${origin}/v1/instances/${instance}`, {
        method: 'PUT',
        body: JSON.stringify({ service: SERVICE, address, slots, state: 'ready', sequence }),
      });
      await response.body.dump();
    });
    // A sidecar that is being replaced refuses connections; the next report reaches its successor.
    await Promise.allSettled(reports);
  }
}
