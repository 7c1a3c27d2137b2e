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
import { controlSettings, originOf, sidecarSettings } from './soak-settings.js';

const PORTS_PER_MACHINE = 4;

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
    const seeds = ports.map(originOf);
    for (const [index, port] of ports.entries()) {
      const id = `control-${index}`;
      const dataDir = join(this.workDir, id);
      const settings = controlSettings({ port, seeds, bootstrap: true, voters: count, dataDir });
      const process = new ProgramProcess(id, 'control', this.workDir, settings);
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
    const settings = sidecarSettings({
      service,
      inbound: inbound!,
      advertise: proxy.origin,
      outbound: outbound!,
      registration: registration!,
      target: target!,
      control,
    });
    const process = new ProgramProcess(id, 'sidecar', this.workDir, settings);
    this.machines.push({
      index,
      service,
      process,
      proxy,
      outbound: originOf(outbound!),
      registration: originOf(registration!),
      targetPort: target!,
    });
  }
}
