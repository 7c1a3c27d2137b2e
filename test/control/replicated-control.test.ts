import { expect } from 'chai';
import { parseResource } from '../../src/policy/resource-schema.js';
import type { Program } from '../../src/programs/program.js';
import {
  Cleanup,
  clientOf,
  planReplicas,
  startReplica,
  until,
  type TestReplica,
} from '../support/processes.js';

function service(name: string, queueWaitMs: number) {
  return parseResource({ kind: 'Service', name, spec: { queueWaitMs } });
}

/** Waits until all replicas name the same leader, since an election may start at any moment. Returns the leader's index. */
async function agreedLeader(replicas: readonly TestReplica[]): Promise<number> {
  let leader = -1;
  await until(async () => {
    const statuses = await Promise.all(replicas.map((replica) => clientOf([replica]).status()));
    const [leaderId, ...others] = statuses.map((status) => status.replication.leaderId);
    leader = replicas.findIndex((replica) => replica.id === leaderId);
    return leader !== -1 && others.every((other) => other === leaderId);
  });
  return leader;
}

describe('three control replicas over HTTP', () => {
  const cleanup = new Cleanup();
  afterEach(() => cleanup.run());

  it('keep what they accepted through the loss of the leader and a restart of all', async () => {
    const replicas = await planReplicas(3);
    const programs: Program[] = await Promise.all(
      replicas.map((replica) => startReplica(cleanup, replicas, replica)),
    );
    const client = clientOf(replicas);
    const first = await client.put(service('ledger', 10), { changeId: 'change-1' });
    expect(first.status).to.equal(201);

    const leader = await agreedLeader(replicas);
    await programs[leader]!.stop();
    const second = await client.put(service('ledger', 20), { changeId: 'change-2', expect: 1 });
    expect(second.body).to.include({ type: 'accepted', revision: 2 });
    const rest = replicas.filter((_, index) => index !== leader);
    await agreedLeader(rest);

    await Promise.all(programs.filter((_, index) => index !== leader).map((one) => one.stop()));
    await Promise.all(replicas.map((replica) => startReplica(cleanup, replicas, replica)));
    const resent = await client.put(service('ledger', 20), { changeId: 'change-2', expect: 1 });
    expect(resent.body).to.include({ type: 'accepted', revision: 2 });
    const raced = await client.put(service('ledger', 30), { changeId: 'change-3', expect: 1 });
    expect(raced.status).to.equal(409);
    await until(async () => {
      const statuses = await Promise.all(replicas.map((replica) => clientOf([replica]).status()));
      return statuses.every((status) => status.distributedRevision === 2);
    });
  });

  it('accept nothing without a quorum, and say that the change may have run', async () => {
    const replicas = await planReplicas(3);
    const [first, ...rest] = await Promise.all(
      replicas.map((replica) => startReplica(cleanup, replicas, replica)),
    );
    expect(first).to.not.equal(undefined);
    const client = clientOf(replicas);
    await client.put(service('ledger', 10), { changeId: 'change-1' });
    await Promise.all(rest.map((program) => program.stop()));
    const alone = clientOf(replicas.slice(0, 1));
    const answer = await alone.put(service('ledger', 20), { changeId: 'change-2' });
    expect(answer.status).to.equal(503);
    expect((await alone.get({ kind: 'Service', name: 'ledger' })).status).to.equal(503);
  });
});
