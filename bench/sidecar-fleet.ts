/**
 * A control replica and sidecars as real processes on loopback. All sidecars share one target, which is registered
 * with each of them at regular intervals, as targets do themselves.
 */
import { join } from 'node:path';
import { request } from 'undici';
import { freePorts } from '../lab/fleet/free-ports.js';
import { ANY_PORT, ProgramProcess } from '../lab/fleet/program-process.js';

/** Interval of the reports of the target, in milliseconds. */
const REPORT_INTERVAL_MS = 1_500;
const TARGET_SLOTS = 64;
const RETRY_MS = 50;

/** Host of the only declared route. */
export const BENCH_HOST = 'bench.example';
/** Service of the sidecars that callers use, and service of those that have a target. */
const SERVICES = ['caller', 'callee'] as const;

interface MeasuredSidecar {
  readonly process: ProgramProcess;
  readonly service: (typeof SERVICES)[number];
  /** Milliseconds from the spawn until it listens. */
  readonly startMs: number;
}

export class SidecarFleet {
  readonly sidecars: MeasuredSidecar[] = [];
  private control: ProgramProcess | undefined;
  private controlOrigin = '';
  private reportTimer: NodeJS.Timeout | undefined;
  private sequence = 0;

  /** @param targetAddress `HOST:PORT` of the target of all sidecars */
  constructor(
    private readonly workDir: string,
    private readonly targetAddress: string,
  ) {}

  /** Starts the control replica and `count` sidecars sequentially, and begins to report the target to them. */
  async start(count: number): Promise<void> {
    await this.startControl();
    await this.declare();
    for (let index = 0; index < count; index += 1) await this.startSidecar(index);
    await this.reportTargets();
    this.reportTimer = setInterval(() => void this.reportTargets(), REPORT_INTERVAL_MS);
  }

  /** Stops the reports and kills every process. */
  async kill(): Promise<void> {
    clearInterval(this.reportTimer);
    await Promise.all(this.sidecars.map(({ process }) => process.kill()));
    await this.control?.kill();
  }

  private async startControl(): Promise<void> {
    const [port = 0] = await freePorts(1);
    this.controlOrigin = `http://127.0.0.1:${port}`;
    this.control = new ProgramProcess('control-1', 'control', this.workDir, {
      listen: { host: '127.0.0.1', port },
      advertise: this.controlOrigin,
      seeds: [this.controlOrigin],
      bootstrap: true,
      dataDir: join(this.workDir, 'control-1'),
      declarations: 'open',
    });
    await this.control.start();
  }

  private async declare(): Promise<void> {
    const match = { host: BENCH_HOST, pathPrefix: '/bench/', service: 'callee' };
    const limits = { timeoutMs: 5_000, objectiveMs: 2_000, rank: 0, maxTargets: 2 };
    const resources = [
      { kind: 'Route', name: 'item', spec: { ...match, ...limits, semantics: 'repeatable' } },
      ...SERVICES.map((name) => ({ kind: 'Service', name, spec: { connections: 128 } })),
    ];
    for (;;) {
      const response = await request(`${this.controlOrigin}/v1/declarations`, {
        method: 'PUT',
        headers: { 'if-match': '0' },
        body: JSON.stringify({ version: 1, resources }),
      });
      await response.body.dump();
      if (response.statusCode === 200) return;
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
  }

  private async startSidecar(index: number): Promise<void> {
    const service = SERVICES[index % SERVICES.length]!;
    const process = new ProgramProcess(`sidecar-${index}`, 'sidecar', this.workDir, {
      service,
      inbound: ANY_PORT,
      outbound: ANY_PORT,
      registration: ANY_PORT,
      control: [this.controlOrigin],
      heartbeatIntervalMs: 1_000,
    });
    const startedAt = performance.now();
    await process.start();
    this.sidecars.push({ process, service, startMs: performance.now() - startedAt });
  }

  private async reportTargets(): Promise<void> {
    this.sequence += 1;
    const { sequence, targetAddress: address } = this;
    await Promise.all(
      this.sidecars.map(async ({ process, service }) => {
        const origin = process.origin('registration');
        const response = await request(`${origin}/v1/instances/${process.id}-target`, {
          method: 'PUT',
          body: JSON.stringify({ service, address, slots: TARGET_SLOTS, state: 'ready', sequence }),
        });
        await response.body.dump();
      }),
    );
  }
}
