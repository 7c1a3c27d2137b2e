/** A simulated control replica: the control program's log and store on a simulated machine and disk. */
import { decodeMessage, encodeMessage } from '../../../src/common/message-codec.js';
import { SeededRandom } from '../../../src/common/random.js';
import { ReplicaHost } from '../../../src/consensus/replica-host.js';
import type { MessageTarget, RaftMessage } from '../../../src/consensus/raft-types.js';
import type { Replica } from '../../../src/storage/persisted-state.js';
import { MemberTable } from '../../../src/control/member-table.js';
import type { ResourceCommand, ResourceResult } from '../../../src/control/commands.js';
import { ResourceStore } from '../../../src/control/resource-store.js';
import { StoreMachine } from '../../../src/control/store-machine.js';
import {
  NO_REVISION,
  type SyncRequest,
  type SyncResponse,
} from '../../../src/sync/sync-protocol.js';
import { SyncResponder } from '../../../src/control/sync-responder.js';
import { MachineClock } from '../machine-clock.js';
import { SimMachine } from '../sim-network.js';
import { CrashEvidence } from '../../../src/quarantine/crash-evidence.js';
import type { ReplicationChecker } from './replication-checker.js';
import type { ReplicationNetwork } from './replication-network.js';
import { raftPartsWith, type RaftMechanisms } from './raft-mechanisms.js';
import { SimDisk } from './sim-disk.js';

/** The answer to a client's change. */
export type ChangeAnswer =
  | { readonly type: 'result'; readonly result: ResourceResult }
  /** The change was not applied; another replica may be the leader. */
  | { readonly type: 'refused' }
  | { readonly type: 'unknown' };

/** The answer to a heartbeat. */
export interface ConfirmedRevision {
  readonly revision: number;
  /** Undefined if the replica is not the leader. */
  readonly confirmedAgeMs: number | undefined;
}

export interface SimReplicaOptions {
  readonly name: string;
  readonly zone: string;
  readonly role: Replica['role'];
  readonly contacts: readonly string[];
  readonly network: ReplicationNetwork;
  readonly checker: ReplicationChecker;
  readonly seed: number;
  readonly mechanisms: RaftMechanisms;
  readonly acknowledgesBeforeSync: boolean;
  /** Lab only: whether a replica that lost its disk restarts with its old identity. */
  readonly reusesIdentity: boolean;
}

const ELECTION_TIMEOUT_MS = 300;
const SNAPSHOT_INTERVAL = 40;
const POLL_MS = 10;
const SYNC_HOLD_MS = 1_000;

export class SimReplica {
  readonly machine: SimMachine;
  readonly disk: SimDisk;
  store = new ResourceStore();
  private host: ReplicaHost | undefined;
  private members = new MemberTable(0);
  private readonly random: SeededRandom;
  private identitiesDrawn = 0;

  constructor(private readonly options: SimReplicaOptions) {
    const { name, zone, seed, network, acknowledgesBeforeSync } = options;
    this.machine = new SimMachine(name, zone);
    this.random = new SeededRandom(seed);
    this.disk = new SimDisk({ clock: network.clock, random: this.random, acknowledgesBeforeSync });
  }

  get name(): string {
    return this.options.name;
  }

  get role(): Replica['role'] {
    return this.options.role;
  }

  get running(): ReplicaHost | undefined {
    return this.machine.isAlive ? this.host : undefined;
  }

  start(): void {
    const { name, network, checker, contacts, role, mechanisms } = this.options;
    const clock = new MachineClock(network.clock, this.machine);
    this.store = new ResourceStore();
    this.members = new MemberTable(clock.now());
    const store = this.store;
    const machine = new StoreMachine(store, () => checker.onStoreChanged(name, store));
    this.host = new ReplicaHost({
      clock,
      random: this.random,
      files: this.disk.mount(),
      transport: { send: (to, message) => this.sendRaft(to, message) },
      stateMachine: {
        apply: (data) => {
          const result = machine.apply(data) as ResourceResult;
          const command = decodeMessage<ResourceCommand>(data);
          checker.onApplied(name, command, result);
          return result;
        },
        takeSnapshot: () => machine.takeSnapshot(),
        restoreSnapshot: (data) => machine.restoreSnapshot(data),
      },
      name,
      origin: name,
      role,
      contacts,
      join: false,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      snapshotInterval: SNAPSHOT_INTERVAL,
      generateIdentity: () => this.drawIdentity(),
      parts: raftPartsWith(mechanisms),
    });
    this.host.start();
  }

  /** Stops immediately, as in a power failure. */
  crash(): void {
    this.machine.kill();
    this.disk.crash();
    this.host = undefined;
  }

  /** Planned stop. */
  stop(): void {
    this.host?.stop();
    this.crash();
  }

  restart(): void {
    this.machine.restart();
    this.start();
  }

  /** Handles a message from another replica. */
  receiveRaft(identity: string, bytes: Uint8Array): void {
    this.host?.receive(identity, decodeMessage<RaftMessage>(bytes));
  }

  /** Handles a client's change. */
  change(command: ResourceCommand, answer: (answer: ChangeAnswer) => void): void {
    this.host?.propose(encodeMessage(command), (outcome) => {
      if (outcome.type === 'applied') {
        answer({ type: 'result', result: outcome.result as ResourceResult });
      } else answer({ type: outcome.type === 'unknown' ? 'unknown' : 'refused' });
    });
  }

  /** Handles a client's read. Answers with the revision, or undefined when refused. */
  read(answer: (revision: number | undefined) => void): void {
    this.host?.readBarrier((confirmed) => answer(confirmed ? this.store.revision : undefined));
  }

  /** Handles a follower's heartbeat: answers with the revision and, on a leader, the age of its confirmation. */
  heartbeat(answer: (reply: ConfirmedRevision) => void): void {
    const { clock } = this.options.network;
    const confirmedAt = this.host?.raftStatus?.confirmedAt;
    const confirmedAgeMs = confirmedAt === undefined ? undefined : clock.now() - confirmedAt;
    answer({ revision: this.store.revision, confirmedAgeMs });
  }

  /** Handles a follower's sync request as the follower API does. */
  sync(request: SyncRequest, answer: (response: SyncResponse | undefined) => void): void {
    const clock = new MachineClock(this.options.network.clock, this.machine);
    const responder = new SyncResponder(
      clock,
      this.store,
      this.members,
      this.name,
      new CrashEvidence(clock),
    );
    const isHeld = request.revision !== NO_REVISION;
    const holdUntil = clock.now() + SYNC_HOLD_MS;
    const respond = (): void => {
      if (isHeld && !responder.hasUpdate(request) && clock.now() < holdUntil) {
        clock.schedule(POLL_MS, respond);
      } else answer(responder.buildResponse(request));
    };
    if (!responder.needsReadBarrier(request)) respond();
    else this.host?.readBarrier((confirmed) => (confirmed ? respond() : answer(undefined)));
  }

  private drawIdentity(): string {
    this.identitiesDrawn += 1;
    return this.options.reusesIdentity ? this.name : `${this.name}#${this.identitiesDrawn}`;
  }

  private sendRaft(to: MessageTarget, message: RaftMessage): void {
    this.options.checker.onRaftMessage(message);
    this.options.network.sendRaft(this.machine, to, encodeMessage(message));
  }
}
