/**
 * The processes of a soak: control replicas, and sidecars behind proxies, on loopback. They restart at the same
 * addresses. Targets and clients run in the process of the soak itself.
 */
import { join } from 'node:path';
import { UsageError } from '../../src/common/errors.js';
import { freePorts } from '../fleet/free-ports.js';
import { ProgramProcess } from '../fleet/program-process.js';
import { LoopbackProxy } from './loopback-proxy.js';
import type { SoakPlan, SoakService } from './soak-plan.js';

const HEARTBEAT_MS = 500;
const MEMBER_LEASE_MS = 3_500;
const ELECTION_TIMEOUT_MS = 600;
/** Time from SIGTERM to SIGKILL, in milliseconds. */
export const GRACE_MS = 6_000;
const PORTS_PER_MACHINE = 4;

/** The retry budget in the settings of the sidecars. */
export const RETRY_BUDGET = { ratio: 0.2, slack: 40, windowMs: 10_000 };

/** A machine: a sidecar, and the proxy through which other sidecars connect to it. */
export interface SoakMachine {
  readonly index: number;
  readonly service: SoakService;
  readonly process: ProgramProcess;
  readonly proxy: LoopbackProxy;
  readonly outbound: string;
  readonly registration: string;
  /** Port on which the target of the machine listens. */
  readonly targetPort: number;
}

export interface SoakReplica {
  readonly process: ProgramProcess;
  readonly origin: string;
}

export class SoakFleet {
  readonly machines: SoakMachine[] = [];
  readonly replicas: SoakReplica[] = [];

  private constructor(private readonly workDir: string) {}

  /** Starts every process. @throws when one does not start; the others are killed first */
  static async start(plan: SoakPlan, workDir: string): Promise<SoakFleet> {
    const fleet = new SoakFleet(workDir);
    try {
      await fleet.startReplicas(plan.replicas);
      await fleet.startMachines(plan.services);
    } catch (error) {
      await fleet.end();
      throw new UsageError(`could not start the processes of the soak: ${String(error)}`);
    }
    return fleet;
  }

  get processes(): readonly ProgramProcess[] {
    return [...this.replicas, ...this.machines].map(({ process }) => process);
  }

  /** Kills every process and closes the proxies. */
  async end(): Promise<void> {
    for (const { process, proxy } of this.machines) {
      await process.kill();
      proxy.stop();
    }
    for (const { process } of this.replicas) await process.kill();
  }

  private async startReplicas(count: number): Promise<void> {
    const ports = await freePorts(count);
    const seeds = ports.map((port) => `http://127.0.0.1:${port}`);
    for (const [index, port] of ports.entries()) {
      const id = `control-${index}`;
      const process = new ProgramProcess(id, 'control', this.workDir, {
        listen: { host: '127.0.0.1', port },
        advertise: seeds[index],
        seeds,
        bootstrap: true,
        voters: count,
        dataDir: join(this.workDir, id),
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        memberLeaseMs: MEMBER_LEASE_MS,
        claims: false,
        declarations: 'open',
      });
      this.replicas.push({ process, origin: seeds[index]! });
    }
    await Promise.all(this.replicas.map(({ process }) => process.start()));
  }

  private async startMachines(services: readonly SoakService[]): Promise<void> {
    const control = this.replicas.map(({ origin }) => origin);
    for (const service of services) {
      for (let each = 0; each < service.machines; each += 1) {
        await this.addMachine(service, control);
      }
    }
    await Promise.all(this.machines.map(({ process }) => process.start()));
  }

  private async addMachine(service: SoakService, control: readonly string[]): Promise<void> {
    const index = this.machines.length;
    const [inbound, outbound, registration, target] = await freePorts(PORTS_PER_MACHINE);
    const proxy = await LoopbackProxy.start(inbound!);
    const id = `sidecar-${index}`;
    const process = new ProgramProcess(id, 'sidecar', this.workDir, {
      service: service.name,
      inbound: { host: '127.0.0.1', port: inbound },
      advertise: proxy.origin,
      outbound: { host: '127.0.0.1', port: outbound },
      registration: { host: '127.0.0.1', port: registration },
      target: `127.0.0.1:${target}`,
      control,
      heartbeatIntervalMs: HEARTBEAT_MS,
      retries: RETRY_BUDGET,
      stop: { graceMs: GRACE_MS },
    });
    this.machines.push({
      index,
      service,
      process,
      proxy,
      outbound: `http://127.0.0.1:${outbound}`,
      registration: `http://127.0.0.1:${registration}`,
      targetPort: target!,
    });
  }
}
