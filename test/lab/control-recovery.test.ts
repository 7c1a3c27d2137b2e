/**
 * Control as real processes: the leader is killed, comes back, loses its disk, is repaired, and another
 * machine is lost the moment that `status` shows the repair as finished.
 */
import { expect } from 'chai';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { StatusReport } from '../../src/sync/status-report.js';
import { parseResource } from '../../src/policy/resource-schema.js';
import { ControlReplicas, type ControlReplica } from '../../lab/fleet/control-replicas.js';
import { until } from '../support/processes.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const CHANGES = 20;

describe('control replicas as processes', function () {
  this.timeout(60_000);

  let control: ControlReplicas;
  let workDir: string;

  before(async () => {
    workDir = mkdtempSync(join(tmpdir(), 'shoredoor-control-'));
    control = await ControlReplicas.start(workDir, ZONES);
  });

  after(async () => {
    await control.kill();
    rmSync(workDir, { recursive: true });
  });

  /** Every change differs from the one before, so every one makes a revision. */
  async function put(change: number): Promise<void> {
    const spec = { queueWaitMs: change };
    const resource = parseResource({ kind: 'Service', name: 'ledger', spec });
    const answer = await control.client().put(resource, { changeId: `change-${change}` });
    expect(answer.body).to.include({ type: 'accepted', revision: change });
  }

  async function statusOf(replica: ControlReplica): Promise<StatusReport | undefined> {
    try {
      return await control.clientOf(replica).status();
    } catch {
      // It has not come up yet.
      return undefined;
    }
  }

  function isRepaired(status: StatusReport | undefined, revision: number): boolean {
    if (status === undefined || status.distributedRevision < revision) return false;
    const { voters, replicasSettled, role } = status.replication;
    return replicasSettled && role !== 'learner' && voters.includes(status.replicaId);
  }

  it('lose nothing, and accept changes, when a second one is lost right after a repair', async () => {
    for (let change = 1; change <= CHANGES; change += 1) await put(change);

    const { leaderId } = (await control.client().status()).replication;
    const leader = control.all.find(({ process }) => process.id === leaderId)!;
    await leader.process.kill();
    await put(CHANGES + 1);
    await leader.process.start();
    await until(async () => (await statusOf(leader))?.distributedRevision === CHANGES + 1);

    await leader.process.kill();
    control.loseDisk(leader);
    await leader.process.start();
    await until(async () => isRepaired(await statusOf(leader), CHANGES + 1));

    const second = control.all.find((replica) => replica !== leader)!;
    await second.process.kill();
    await put(CHANGES + 2);
    const { revision, items } = await control.client().list();
    expect(revision).to.equal(CHANGES + 2);
    expect(items).to.have.length(1);
  });
});
