/** Control as processes that start for the first time: one of three seeds is killed during the start, and comes back. */
import { expect } from 'chai';
import { spawn, type ChildProcess } from 'node:child_process';
import { hash } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { freePorts } from '../../lab/fleet/free-ports.js';
import { ResourceClient } from '../../src/client/resource-client.js';
import { SeededRandom } from '../../src/common/random.js';
import { parseResource } from '../../src/policy/resource-schema.js';
import { Cleanup, OPERATOR_TOKEN } from '../support/processes.js';

const PRODUCT_SCRIPT = fileURLToPath(new URL('../../src/cli/main.js', import.meta.url));
const REPLICAS = 5;
const SEEDS = 3;
const RUNS = 6;
const ELECTION_TIMEOUT_MS = 600;
const START_SPREAD_MS = 300;
/** Longer than a start takes on an idle machine, so that the seed is killed before, while and after the set is formed. */
const KILL_SPREAD_MS = 1_500;
const DOWN_MS = 500;
/** Time in which control serves again after losses, on the platform. */
const RECOVERY_MS = 15_000;

class StartingReplica {
  private child: ChildProcess | undefined;

  constructor(
    private readonly workDir: string,
    private readonly settings: { readonly id: string },
  ) {}

  start(bootstrap: boolean): void {
    const file = join(this.workDir, `${this.settings.id}.yaml`);
    writeFileSync(file, stringify({ ...this.settings, bootstrap }));
    const args = [PRODUCT_SCRIPT, 'control', '--config', file];
    this.child = spawn(process.execPath, args, { stdio: 'ignore' });
  }

  async kill(): Promise<void> {
    const { child } = this;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
}

describe('the first start of control, with a seed killed', function () {
  this.timeout(RUNS * (RECOVERY_MS + 10_000));

  const cleanup = new Cleanup();
  const random = new SeededRandom(7);

  afterEach(() => cleanup.run());

  for (let run = 0; run < RUNS; run += 1) {
    const killAfterMs = Math.round(KILL_SPREAD_MS * random.next());
    const bootstrap = run % 2 === 1;
    it(`accepts a change, killed after ${killAfterMs} ms and back with bootstrap ${bootstrap}`, async () => {
      const { replicas, client } = await plan(cleanup);
      const victim = run % SEEDS;
      const starts = replicas.map(async (replica, index) => {
        await sleep((START_SPREAD_MS * ((index + run) % REPLICAS)) / REPLICAS);
        replica.start(true);
        if (index !== victim) return;
        await sleep(killAfterMs);
        await replica.kill();
        await sleep(DOWN_MS);
        replica.start(bootstrap);
      });
      await Promise.all(starts);
      expect(await acceptsChange(client)).to.equal(true);
    });
  }
});

async function plan(
  cleanup: Cleanup,
): Promise<{ replicas: StartingReplica[]; client: ResourceClient }> {
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-first-start-'));
  cleanup.add(() => rmSync(workDir, { recursive: true }));
  const origins = (await freePorts(REPLICAS)).map((port) => `http://127.0.0.1:${port}`);
  const tokenHash = hash('sha256', OPERATOR_TOKEN, 'hex');
  const replicas = origins.map((origin, index) => {
    const id = `control-${index}`;
    const replica = new StartingReplica(workDir, {
      id,
      zone: 'zone-a',
      listen: origin.slice('http://'.length),
      admin: '127.0.0.1:0',
      advertise: origin,
      seeds: origins.slice(0, SEEDS),
      voters: REPLICAS,
      dataDir: join(workDir, id),
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      linkToken: 'test-link-token-0123456789',
      tokens: [{ name: 'writer', role: 'write', tokenHash }],
    } as { readonly id: string });
    cleanup.add(() => replica.kill());
    return replica;
  });
  return { replicas, client: new ResourceClient({ origins, token: OPERATOR_TOKEN }) };
}

/** Whether a change is accepted within the time in which control has to serve. */
async function acceptsChange(client: ResourceClient): Promise<boolean> {
  const resource = parseResource({ kind: 'Service', name: 'ledger', spec: { queueWaitMs: 1 } });
  const endsAt = performance.now() + RECOVERY_MS;
  while (performance.now() < endsAt) {
    try {
      const { body } = await client.put(resource, { changeId: 'change-1' });
      if ((body as { type?: string }).type === 'accepted') return true;
    } catch {
      // There is no leader yet.
    }
    await sleep(50);
  }
  return false;
}
