/** Simulates how long a change takes to be in force at many followers, some behind slow links. */
import { SeededRandom } from '../../src/common/random.js';
import { VirtualClock } from '../../src/common/virtual-clock.js';
import { ALL_RAFT_MECHANISMS } from '../simulator/replication/raft-mechanisms.js';
import { parseResource } from '../../src/policy/resource-schema.js';
import { ReplicationChecker } from '../simulator/replication/replication-checker.js';
import { ReplicationNetwork } from '../simulator/replication/replication-network.js';
import { SimFollower } from '../simulator/replication/sim-follower.js';
import { SimReplica } from '../simulator/replication/sim-replica.js';

const ZONES = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'];
const SLOW_FRACTION = 0.01;
const SLOW_LINK_MS = 500;
const SETTLE_MS = 8_000;
const CHANGES = 10;
const CHANGE_INTERVAL_MS = 2_000;
const STEP_MS = 10;
const GIVE_UP_MS = 30_000;
const NO_FAULTS = { dropped: 0, repeated: 0, delayed: 0 };

export interface DistributionResult {
  readonly followers: number;
  /** Milliseconds from the proposal until each change was in force everywhere, sorted. */
  readonly latenciesMs: readonly number[];
}

export function simulateDistribution(followerCount: number, seed: number): DistributionResult {
  const clock = new VirtualClock();
  const random = new SeededRandom(seed);
  const network = new ReplicationNetwork(clock, random, NO_FAULTS);
  const checker = new ReplicationChecker(() => clock.now());
  const names = ['control-1', 'control-2', 'control-3', 'control-4'];
  const replicas = names.map(
    (name, index) =>
      new SimReplica({
        name,
        zone: ZONES[index < 2 ? index : index + 1]!,
        role: index < 3 ? 'voter' : 'learner',
        contacts: names.filter((other) => other !== name),
        network,
        checker,
        seed: seed * names.length + index,
        mechanisms: ALL_RAFT_MECHANISMS,
        answersBeforeSync: false,
        keepsIdentity: false,
      }),
  );
  const followers = Array.from({ length: followerCount }, (_, index) => {
    const zone = ZONES[index % ZONES.length]!;
    const follower = new SimFollower(
      `node-${index}`,
      zone,
      replicas,
      network,
      checker,
      random,
      false,
    );
    const isSlow = index < followerCount * SLOW_FRACTION;
    if (isSlow) follower.machine.extraLatencyMs = SLOW_LINK_MS;
    return follower;
  });
  for (const replica of replicas) network.addReplica(replica);
  for (const process of [...replicas, ...followers]) process.start();
  clock.runUntil(SETTLE_MS);

  const latenciesMs: number[] = [];
  for (let change = 1; change <= CHANGES; change += 1) {
    const proposedAt = clock.now();
    propose(replicas, change);
    const isEverywhere = (): boolean =>
      followers.every(({ appliedRevision }) => (appliedRevision ?? 0) >= change);
    while (!isEverywhere() && clock.now() - proposedAt < GIVE_UP_MS) clock.advance(STEP_MS);
    latenciesMs.push(isEverywhere() ? clock.now() - proposedAt : Infinity);
    clock.advance(CHANGE_INTERVAL_MS);
  }
  return { followers: followerCount, latenciesMs: latenciesMs.sort((a, b) => a - b) };
}

function propose(replicas: readonly SimReplica[], change: number): void {
  const leader = replicas.find((replica) => replica.running?.raftStatus?.role === 'leader');
  const spec = { queueWaitMs: change };
  const resource = parseResource({ kind: 'Service', name: 'service-1', spec });
  leader?.change(
    {
      type: 'put',
      resource,
      changeId: `change-${change}`,
      actor: 'capacity',
      at: 0,
      precondition: 'any',
    },
    () => undefined,
  );
}
