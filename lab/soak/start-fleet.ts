/** The processes of a soak of starts: control replicas and sidecars on loopback, each under a supervisor, and their addresses. */
import { join } from 'node:path';
import { freePorts } from '../fleet/free-ports.js';
import { commonSettings } from '../fleet/program-process.js';
import type { BundledPrograms } from './bundled-programs.js';
import type { SoakService } from './soak-plan.js';
import { controlSettings, originOf, sidecarSettings } from './soak-settings.js';
import { SEEDS, type StartPlan } from './start-plan.js';
import { SupervisedProcess } from './supervised-process.js';

const PORTS_PER_MACHINE = 4;

/** A sidecar and its addresses. */
export interface StartMachine {
  readonly index: number;
  readonly service: SoakService;
  readonly process: SupervisedProcess;
  readonly outbound: string;
  readonly registration: string;
  /** Port on which the target of the machine listens. */
  readonly targetPort: number;
}

export interface StartReplica {
  readonly process: SupervisedProcess;
  readonly origin: string;
}

export class StartFleet {
  readonly replicas: StartReplica[] = [];
  readonly machines: StartMachine[] = [];

  private constructor(
    private readonly plan: StartPlan,
    private readonly programs: BundledPrograms,
    private readonly workDir: string,
  ) {}

  /** Allocates the addresses and reserves them until the processes are started. */
  static async create(
    plan: StartPlan,
    programs: BundledPrograms,
    workDir: string,
  ): Promise<StartFleet> {
    const fleet = new StartFleet(plan, programs, workDir);
    const ports = await freePorts(plan.replicas);
    const seeds = ports.slice(0, SEEDS).map(originOf);
    for (const port of ports) fleet.addReplica(port, seeds);
    for (const service of plan.services) {
      for (let each = 0; each < service.machines; each += 1) await fleet.addMachine(service, seeds);
    }
    await Promise.all(fleet.processes.map((process) => process.reservePorts()));
    return fleet;
  }

  get processes(): readonly SupervisedProcess[] {
    return [...this.replicas, ...this.machines].map(({ process }) => process);
  }

  /** Kills every process. */
  async end(): Promise<void> {
    await Promise.all(this.processes.map((process) => process.end()));
  }

  private addReplica(port: number, seeds: readonly string[]): void {
    const id = `control-${this.replicas.length}`;
    const dataDir = join(this.workDir, id);
    const { replicas: voters } = this.plan;
    const process = this.createProcess(id, 'control', [port], (bootstrap) =>
      controlSettings({ port, seeds, bootstrap, voters, dataDir }),
    );
    this.replicas.push({ process, origin: originOf(port) });
  }

  private async addMachine(service: SoakService, control: readonly string[]): Promise<void> {
    const index = this.machines.length;
    const ports = await freePorts(PORTS_PER_MACHINE);
    const [inbound = 0, outbound = 0, registration = 0, target = 0] = ports;
    const place = { service, inbound, outbound, registration, target, control };
    const settings = sidecarSettings({ ...place, advertise: originOf(inbound) });
    const listen = [inbound, outbound, registration];
    const process = this.createProcess(`sidecar-${index}`, 'sidecar', listen, () => settings);
    this.machines.push({
      index,
      service,
      process,
      outbound: originOf(outbound),
      registration: originOf(registration),
      targetPort: target,
    });
  }

  /** @param settings settings of a start, given whether it is the first one */
  private createProcess(
    id: string,
    program: 'control' | 'sidecar',
    ports: readonly number[],
    settings: (isFirst: boolean) => object,
  ): SupervisedProcess {
    const { programs, workDir, plan } = this;
    return new SupervisedProcess({
      id,
      program,
      programs,
      workDir,
      start: plan.starts[this.processes.length]!,
      ports,
      settings: (isFirst) => ({ ...commonSettings(id), ...settings(isFirst) }),
    });
  }
}
