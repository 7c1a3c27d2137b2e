/** A single control replica on given storage files, without HTTP servers. */
import type { Clock } from '../../src/common/clock.js';
import { SeededRandom } from '../../src/common/random.js';
import { ReplicaHost } from '../../src/consensus/replica-host.js';
import { DeclarationService } from '../../src/control/declaration-service.js';
import { ReplicatedCommandLog } from '../../src/control/replicated-command-log.js';
import { ResourceStore } from '../../src/control/resource-store.js';
import { StoreMachine } from '../../src/control/store-machine.js';
import type { StorageFiles } from '../../src/storage/storage-files.js';

export interface StoredReplicaOptions {
  readonly clock: Clock;
  readonly files: StorageFiles;
  /** Number of entries applied between two snapshots. */
  readonly snapshotInterval?: number;
}

/** Unix time in milliseconds that is stored with declared sets. */
const DECLARED_AT = 1_700_000_100_000;
const ELECTION_TIMEOUT_MS = 50;

export class StoredReplica {
  readonly store = new ResourceStore();
  readonly host: ReplicaHost;
  readonly log: ReplicatedCommandLog;
  readonly declarations: DeclarationService;

  constructor({ clock, files, snapshotInterval }: StoredReplicaOptions) {
    this.host = new ReplicaHost({
      clock,
      random: new SeededRandom(1),
      files,
      transport: { send: () => undefined },
      stateMachine: new StoreMachine(this.store, () => undefined),
      name: 'control-1',
      origin: 'http://127.0.0.1:7401',
      role: 'voter',
      contacts: [],
      join: false,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      snapshotInterval,
      generateIdentity: () => 'a3b1c2d4-0000-4000-8000-000000000001',
    });
    this.log = new ReplicatedCommandLog(clock, this.host);
    this.declarations = new DeclarationService({
      store: this.store,
      log: this.log,
      wallClock: () => DECLARED_AT,
    });
  }

  /** Whether the replica is the leader and has applied its whole log. */
  get isCaughtUp(): boolean {
    const { role, commitIndex, lastIndex } = this.log.status();
    return role === 'leader' && commitIndex === lastIndex;
  }
}
