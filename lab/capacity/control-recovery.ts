/**
 * Control on real processes through its worst day: many changes, the loss of the leader, a restart, the
 * loss of a disk, and the loss of a second machine the moment the repair is reported finished.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseResource, type Resource } from '../../src/policy/resource-schema.js';
import type { StatusReport } from '../../src/sync/status-report.js';
import { Fleet, type FleetControl } from '../fleet/fleet.js';
import { twoYearDeployment } from './two-year-deployment.js';

const POLL_MS = 20;
const VARIANTS = 1_000;

/** Times in milliseconds. */
export interface ControlRecovery {
  readonly changes: number;
  readonly changesPerSecond: number;
  /** From the leader's kill to the next accepted change. */
  readonly acceptedAgainMs: number;
  /** From the start of the killed replica until it holds the newest revision. */
  readonly restartedMs: number;
  /** From the start with an empty disk until it is a voter again. */
  readonly repairedMs: number;
  /** Whether a change was accepted, and all earlier ones were there, after the second loss. */
  readonly survivedSecondLoss: boolean;
}

export async function measureControlRecovery(changes: number): Promise<ControlRecovery> {
  const fleet = await startControls();
  try {
    const writing = new Stopwatch();
    for (let change = 1; change <= changes; change += 1) await put(fleet, change);
    const writingMs = writing.elapsedMs;

    const leader = await findLeader(fleet);
    await leader.child!.kill();
    const failover = new Stopwatch();
    await put(fleet, changes + 1);
    const acceptedAgainMs = failover.elapsedMs;

    const restart = new Stopwatch();
    await fleet.startControl(leader);
    await until(async () => (await statusOf(fleet, leader))?.distributedRevision === changes + 1);
    const restartedMs = restart.elapsedMs;

    await leader.child!.kill();
    fleet.loseDisk(leader);
    const repair = new Stopwatch();
    await fleet.startControl(leader);
    await until(async () => isRepaired(await statusOf(fleet, leader), changes + 1));
    const repairedMs = repair.elapsedMs;

    const second = fleet.controls.find((control) => control !== leader)!;
    await second.child!.kill();
    await put(fleet, changes + 2);
    const { revision } = await fleet.client().list();
    return {
      changes,
      changesPerSecond: (changes * 1_000) / writingMs,
      acceptedAgainMs,
      restartedMs,
      repairedMs,
      survivedSecondLoss: revision === changes + 2,
    };
  } finally {
    await fleet.kill();
  }
}

class Stopwatch {
  private readonly startedAt = performance.now();

  get elapsedMs(): number {
    return performance.now() - this.startedAt;
  }
}

function startControls(): Promise<Fleet> {
  const { deployment } = twoYearDeployment(1, 1);
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-control-'));
  const options = { deployment, deploymentFile: '', declarations: '', workDir, edges: 0, seed: 1 };
  return Fleet.startControls(options);
}

/** Every change differs from the one before, so every one makes a revision. */
function resourceOf(change: number): Resource {
  const spec = { queueWaitMs: 1 + (change % VARIANTS) };
  return parseResource({ kind: 'Service', name: `service-${change % 100}`, spec });
}

async function put(fleet: Fleet, change: number): Promise<void> {
  const answer = await fleet.client().put(resourceOf(change), { changeId: `change-${change}` });
  const revision = (answer.body as { revision?: number }).revision;
  if (answer.status >= 300 || revision !== change) {
    throw new Error(`change ${change}: ${answer.status} ${JSON.stringify(answer.body)}`);
  }
}

async function statusOf(fleet: Fleet, control: FleetControl): Promise<StatusReport | undefined> {
  try {
    return await fleet.clientOf(control).status();
  } catch {
    return undefined;
  }
}

async function findLeader(fleet: Fleet): Promise<FleetControl> {
  const { replication } = await fleet.client().status();
  return fleet.controls.find((control) => control.id === replication.leaderId)!;
}

function isRepaired(status: StatusReport | undefined, revision: number): boolean {
  if (status === undefined || status.distributedRevision < revision) return false;
  const { voters, replicasSettled, role } = status.replication;
  return replicasSettled && role !== 'learner' && voters.includes(status.replicaId);
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
}
