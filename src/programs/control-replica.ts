/** Creates the consensus replica of a control process from its settings: identity, peers, data folder and transport. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '../common/clock.js';
import type { Logger } from '../common/logger.js';
import { ReplicaHost, type ReplicaHostOptions } from '../consensus/replica-host.js';
import { bearableLosses, votersToBear } from '../consensus/loss-tolerance.js';
import type { ChangeNotifier } from '../control/change-notifier.js';
import { ReplicationSender } from '../control/replication-link.js';
import type { ResourceStore } from '../control/resource-store.js';
import { StoreMachine } from '../control/store-machine.js';
import { ControlClient } from '../http/control-client.js';
import { DiskFiles } from '../storage/disk-files.js';
import type { ControlSettings } from '../settings/control-settings.js';
import { processRandom } from './process-random.js';

/** Creates the replica without starting it. */
export function createReplicaHost(
  settings: ControlSettings,
  clock: Clock,
  store: ResourceStore,
  notifier: ChangeNotifier,
  logger: Logger,
): ReplicaHost {
  const { electionTimeoutMs, linkToken } = settings;
  return new ReplicaHost({
    clock,
    random: processRandom(),
    files: new DiskFiles(settings.dataDir),
    transport: new ReplicationSender(new ControlClient(linkToken), electionTimeoutMs),
    stateMachine: new StoreMachine(store, () => notifier.notify()),
    ...topologyOf(settings),
    electionTimeoutMs,
    maxVoters: maxVotersOf(settings),
    lossTolerance: lossToleranceOf(settings),
    generateIdentity: () => randomUUID(),
    onPhaseChange: (phase, problem) => {
      if (phase === 'damaged' || phase === 'failed') {
        logger.error('The replica cannot participate in the cluster.', { phase, problem });
      } else logger.info('The replica changed its phase.', { phase });
    },
    onFormationDelayed: (problem) => logger.warn('The replica set is not formed.', { problem }),
  });
}

/** Number of replicas that may be lost at once. Without the setting, as many as `voters` can bear. */
export function lossToleranceOf({ voters = 1, lossTolerance }: ControlSettings): number {
  return lossTolerance ?? bearableLosses(voters, voters);
}

/** `voters`, or as many as the loss tolerance needs. */
function maxVotersOf(settings: ControlSettings): number | undefined {
  const { voters } = settings;
  if (voters === undefined) return undefined;
  return Math.max(voters, votersToBear(lossToleranceOf(settings)));
}

/** Name, origin and role of a replica, and the peers with which it forms or joins the cluster. */
type ReplicaTopology = Pick<
  ReplicaHostOptions,
  'name' | 'origin' | 'role' | 'contacts' | 'join' | 'seeds'
>;

function topologyOf(settings: ControlSettings): ReplicaTopology {
  const { id: name, replicas, seeds, advertise, bootstrap } = settings;
  if (seeds !== undefined) {
    const origin = advertise!;
    const contacts = seeds.filter((seed) => seed !== origin);
    const isBootstrapping = bootstrap && contacts.length < seeds.length;
    return { name, origin, role: 'voter', contacts, join: !isBootstrapping, seeds };
  }
  const own = replicas!.find((replica) => replica.id === name)!;
  const contacts = replicas!.filter((replica) => replica.id !== name).map(({ origin }) => origin);
  return { name, origin: own.origin, role: own.role, contacts, join: settings.join };
}
