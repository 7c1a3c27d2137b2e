/**
 * Many hollow nodes in one process, with the product's follower, against real control processes: what
 * a node costs control, and what control costs a node.
 */
import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SystemClock } from '../../src/common/clock.js';
import { SeededRandom } from '../../src/common/random.js';
import { ControlClient } from '../../src/http/control-client.js';
import { Follower } from '../../src/follower/follower.js';
import { SILENT_LOGGER } from '../../src/common/logger.js';
import { parseResource } from '../../src/policy/resource-schema.js';
import { processorMs, residentMegabytes } from '../../bench/process-usage.js';
import { Fleet } from '../fleet/fleet.js';
import { twoYearDeployment } from './two-year-deployment.js';

/** Longer than a lease: then every replica lists the endpoints, and every follower has the list. */
const SETTLE_MS = 15_000;
const CHANGE_INTERVAL_MS = 1_000;
const POLL_MS = 5;
const SERVICES = 120;
const LINK_TOKEN = 'lab-link-token-0123456789';

export interface HollowResult {
  readonly nodes: number;
  /** Processor time of the busiest control replica, as part of a core. */
  readonly controlCore: number;
  readonly controlMegabytes: number;
  /** Processor time of one hollow node, as part of a core. */
  readonly nodeCore: number;
  /** Bytes a second that one hollow node sends and receives. */
  readonly nodeBytesPerSecond: number;
  readonly nodeMegabytes: number;
  /** Milliseconds until each change was in force at every node, sorted. */
  readonly latenciesMs: readonly number[];
}

/** @param seconds of measurement, with one change a second */
export async function measureHollowFollowers(
  nodes: number,
  seconds: number,
): Promise<HollowResult> {
  const before = process.memoryUsage().rss;
  const fleet = await startControls();
  const followers = createFollowers(nodes, fleet);
  try {
    for (const follower of followers) follower.start();
    await sleep(SETTLE_MS);
    const pids = fleet.controls.map((control) => control.child!.pid);
    const startedAt = performance.now();
    const start = { controls: pids.map(processorMs), own: processorMs(process.pid), io: ioBytes() };
    const latenciesMs: number[] = [];
    for (let change = 0; change < seconds; change += 1) {
      latenciesMs.push(await changeOnce(fleet, followers, change));
      await sleep(Math.max(0, CHANGE_INTERVAL_MS - latenciesMs.at(-1)!));
    }
    const elapsedMs = performance.now() - startedAt;
    const used = pids.map((pid, index) => processorMs(pid) - start.controls[index]!);
    return {
      nodes,
      controlCore: Math.max(...used) / elapsedMs,
      controlMegabytes: Math.max(...pids.map(residentMegabytes)),
      nodeCore: (processorMs(process.pid) - start.own) / elapsedMs / nodes,
      nodeBytesPerSecond: ((ioBytes() - start.io) * 1_000) / elapsedMs / nodes,
      nodeMegabytes: (process.memoryUsage().rss - before) / 1_048_576 / nodes,
      latenciesMs: latenciesMs.sort((a, b) => a - b),
    };
  } finally {
    for (const follower of followers) follower.stop();
    await fleet.kill();
  }
}

function startControls(): Promise<Fleet> {
  const { deployment } = twoYearDeployment(1, 1);
  return Fleet.startControls({
    deployment,
    deploymentFile: '',
    declarations: '',
    workDir: mkdtempSync(join(tmpdir(), 'shoredoor-capacity-')),
    edges: 0,
    seed: 1,
  });
}

function createFollowers(nodes: number, fleet: Fleet): Follower[] {
  const clock = new SystemClock();
  const client = new ControlClient(LINK_TOKEN);
  return Array.from({ length: nodes }, (_, index) => {
    const service = `service-${(index % SERVICES) + 1}`;
    return new Follower({
      clock,
      random: new SeededRandom(index + 1),
      client,
      controlOrigins: fleet.controls.map((control) => control.origin),
      logger: SILENT_LOGGER,
      identity: () => ({
        id: `hollow-${index + 1}`,
        role: 'node',
        incarnation: 1,
        zone: 'a-1',
        service,
        origin: `http://10.0.${index >> 8}.${index & 255}:7000`,
        claimEpoch: Number.MAX_SAFE_INTEGER,
      }),
      onConfiguration: () => undefined,
      onEndpoints: () => undefined,
      onSuperseded: () => undefined,
    });
  });
}

async function changeOnce(
  fleet: Fleet,
  followers: readonly Follower[],
  change: number,
): Promise<number> {
  const spec = { queueWaitMs: 1 + (change % 1_000) };
  const resource = parseResource({ kind: 'Service', name: 'service-1', spec });
  const sentAt = performance.now();
  const answer = await fleet.client().put(resource, { changeId: `capacity-${sentAt}` });
  const { revision } = answer.body as { revision: number };
  while (followers.some((follower) => follower.view.appliedRevision < revision)) {
    await sleep(POLL_MS);
  }
  return performance.now() - sentAt;
}

/** Bytes that this process read and wrote, sockets included. */
function ioBytes(): number {
  const text = readFileSync('/proc/self/io', 'utf8');
  const read = Number(/rchar: (\d+)/.exec(text)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(text)?.[1] ?? 0);
  return read + written;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
