/**
 * A complete deployment as real processes on loopback: control replicas, edges, nodes, and targets run by a stub back
 * end. Injects faults and reads the execution records of the targets.
 */
import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';
import { readDeclarations } from '../../src/cli/resource-files.js';
import type { ExecutionRecord } from '../model/backend-model.js';
import { placeTargets, type Deployment, type TargetPlacement } from '../model/deployment.js';
import { BACKEND_COMMANDS } from '../process/backend-process.js';
import { FleetChild } from './child-process.js';
import { ControlReplicas } from './control-replicas.js';
import { readExecutions } from './execution-records.js';
import { ANY_PORT, ProgramProcess } from './program-process.js';

const LAB_SCRIPT = fileURLToPath(new URL('../cli/main.js', import.meta.url));
const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;
const CONTROL_REPLICAS = 3;

interface FleetOptions {
  readonly deployment: Deployment;
  /** File of the deployment; the back ends read it again. */
  readonly deploymentFile: string;
  /** Folder with the declarations to apply. */
  readonly declarations: string;
  /** Folder for settings, data and logs. */
  readonly workDir: string;
  readonly edges: number;
  readonly seed: number;
}

/** A target and its node; a restart replaces their processes. */
interface FleetTarget {
  readonly placement: TargetPlacement;
  backend: FleetChild;
  node: ProgramProcess;
}

export class Fleet {
  readonly targets: FleetTarget[] = [];
  private readonly edges: ProgramProcess[] = [];

  private constructor(
    private readonly options: FleetOptions,
    private readonly control: ControlReplicas,
  ) {}

  /** Starts every process, applies the declarations, and waits until edges and nodes are ready. */
  static async start(options: FleetOptions): Promise<Fleet> {
    mkdirSync(options.workDir, { recursive: true });
    const { zones } = options.deployment;
    const zonesOfControl = Array.from({ length: CONTROL_REPLICAS }, (_, index) =>
      roundRobin(zones, index),
    );
    const control = await ControlReplicas.start(options.workDir, zonesOfControl);
    const fleet = new Fleet(options, control);
    try {
      await fleet.applyDeclarations();
      await fleet.startTargets();
      await fleet.startEdges();
      await fleet.waitUntilReady();
    } catch (error) {
      await fleet.kill();
      throw error;
    }
    return fleet;
  }

  edgeOrigins(): string[] {
    return this.edges.map((edge) => edge.origin('listen'));
  }

  target(nodeId: string): FleetTarget {
    const found = this.targets.find((target) => target.placement.nodeId === nodeId);
    if (found === undefined) throw new Error(`the fleet has no target '${nodeId}'`);
    return found;
  }

  /** Multiplies the duration of the work of all targets of a service by `factor`. */
  async setSlow(service: string, factor: number): Promise<void> {
    const targets = this.targets.filter((target) => target.placement.service.name === service);
    await Promise.all(
      targets.map((target) => this.command(target.backend, BACKEND_COMMANDS.slow, { factor })),
    );
  }

  /** Slows one target down by `factor` for `durationMs`, as after a cold start. */
  async startCold(nodeId: string, factor: number, durationMs: number): Promise<void> {
    const { backend } = this.target(nodeId);
    await this.command(backend, BACKEND_COMMANDS.cold, { factor, durationMs });
  }

  /** Kills a target and its node. */
  async killTarget(nodeId: string): Promise<void> {
    const { backend, node } = this.target(nodeId);
    await Promise.all([backend.kill(), node.kill()]);
  }

  /** Restarts a target and its node after {@link Fleet.killTarget}. */
  async restartTarget(nodeId: string): Promise<void> {
    const target = this.target(nodeId);
    const index = this.targets.indexOf(target);
    const fresh = await this.startTarget(target.placement, index);
    target.backend = fresh.backend;
    target.node = fresh.node;
  }

  /** Suspends (SIGSTOP) or resumes (SIGCONT) a target and its node. */
  signalTarget(nodeId: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    const { backend, node } = this.target(nodeId);
    node.signal(signal);
    backend.signal(signal);
  }

  /** Execution records by node id, with times relative to `from` (milliseconds since the epoch). */
  executions(from: number): Map<string, ExecutionRecord[]> {
    return new Map(
      this.targets.map(({ placement }) => {
        const records = readExecutions(this.recordFile(placement.nodeId));
        const inRun = records.map((record) => ({ ...record, startedAt: record.startedAt - from }));
        return [placement.nodeId, inRun];
      }),
    );
  }

  /** Kills all processes. */
  async kill(): Promise<void> {
    const children = [
      ...this.edges,
      ...this.targets.flatMap((target) => [target.node, target.backend]),
    ];
    await Promise.all([...children.map((child) => child.kill()), this.control.kill()]);
  }

  private recordFile(nodeId: string): string {
    return join(this.options.workDir, `${nodeId}.executions`);
  }

  private async applyDeclarations(): Promise<void> {
    const client = this.control.client();
    for (const { resource } of readDeclarations(this.options.declarations)) {
      const changeId = `lab/${resource.kind}/${resource.name}`;
      const answer = await client.put(resource, { changeId });
      if (answer.status >= 300) {
        throw new Error(`${resource.kind} '${resource.name}': ${JSON.stringify(answer.body)}`);
      }
    }
  }

  private async startTargets(): Promise<void> {
    const placements = placeTargets(this.options.deployment);
    const started = await Promise.all(
      placements.map((placement, index) => this.startTarget(placement, index)),
    );
    this.targets.push(...started);
  }

  private async startTarget(placement: TargetPlacement, index: number): Promise<FleetTarget> {
    const { nodeId, service, zone } = placement;
    const { deploymentFile, workDir, seed } = this.options;
    const options = [
      ['--deployment', deploymentFile],
      ['--service', service.name],
      ['--seed', `${seed + index}`],
      ['--record', this.recordFile(nodeId)],
    ];
    const backend = await FleetChild.start(
      `backend of ${nodeId}`,
      LAB_SCRIPT,
      ['backend', ...options.flat()],
      join(workDir, `${nodeId}.backend.log`),
    );
    const node = new ProgramProcess(nodeId, 'node', workDir, {
      zone,
      service: service.name,
      inbound: ANY_PORT,
      outbound: ANY_PORT,
      target: { origin: backend.origin('listen') },
      control: this.control.origins,
    });
    await node.start();
    await this.command(backend, BACKEND_COMMANDS.outbound, { origin: node.origin('outbound') });
    return { placement, backend, node };
  }

  private async startEdges(): Promise<void> {
    const { deployment, edges, workDir } = this.options;
    for (let index = 0; index < edges; index += 1) {
      const edge = new ProgramProcess(`edge-${index + 1}`, 'edge', workDir, {
        zone: roundRobin(deployment.zones, index),
        listen: ANY_PORT,
        control: this.control.origins,
      });
      this.edges.push(edge);
      await edge.start();
    }
  }

  /** Waits until every edge and node reports that it is ready. */
  private async waitUntilReady(): Promise<void> {
    const programs = [...this.edges, ...this.targets.map((target) => target.node)];
    const giveUpAt = Date.now() + READY_TIMEOUT_MS;
    for (const program of programs) {
      while (!(await isReady(program.origin('admin')))) {
        if (Date.now() > giveUpAt) throw new Error(`${program.id} did not become ready`);
        await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
      }
    }
  }

  private async command(backend: FleetChild, path: string, body: unknown): Promise<void> {
    const response = await request(backend.origin('listen') + path, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    await response.body.dump();
  }
}

async function isReady(adminOrigin: string): Promise<boolean> {
  const response = await request(`${adminOrigin}/readyz`);
  await response.body.dump();
  return response.statusCode === 200;
}

function roundRobin(zones: readonly string[], index: number): string {
  return zones[index % zones.length]!;
}
