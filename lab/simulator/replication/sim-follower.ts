/**
 * A simulated follower of the configuration without a disk. It uses the product's view and proof of age, but
 * chooses a random replica for each request.
 */
import { ConfigurationProof } from '../../../src/follower/configuration-proof.js';
import { ConfigurationView } from '../../../src/follower/configuration-view.js';
import type { SyncResponse } from '../../../src/sync/sync-protocol.js';
import type { RandomSource } from '../../../src/common/random.js';
import { MachineClock } from '../machine-clock.js';
import { exchange } from '../sim-exchange.js';
import { SimMachine } from '../sim-network.js';
import type { ReplicationChecker } from './replication-checker.js';
import type { ReplicationNetwork } from './replication-network.js';
import type { ConfirmedRevision, SimReplica } from './sim-replica.js';

const TIMEOUT_MS = 1_500;
const RETRY_MS = 50;
const HEARTBEAT_MS = 200;

export class SimFollower {
  readonly machine: SimMachine;
  view = new ConfigurationView();
  private proof = new ConfigurationProof();
  private applied: number | undefined;
  private inForceAtStart = 0;

  constructor(
    name: string,
    zone: string,
    private readonly replicas: readonly SimReplica[],
    private readonly network: ReplicationNetwork,
    private readonly checker: ReplicationChecker,
    private readonly random: RandomSource,
    private readonly tracksStaleness: boolean,
  ) {
    this.machine = new SimMachine(name, zone);
  }

  /** Revision applied here; undefined before the first one and while the process is down. */
  get appliedRevision(): number | undefined {
    return this.machine.isAlive ? this.applied : undefined;
  }

  /** Sends periodic heartbeats to every replica to bound the age of its configuration, as product followers do. */
  sendHeartbeats(): void {
    const { network, machine, replicas } = this;
    const clock = new MachineClock(network.clock, machine);
    const sentAt = clock.now();
    for (const replica of replicas) {
      exchange<ConfirmedRevision>(
        { ...network.exchangeDefaults, from: machine, to: replica.machine, timeoutMs: TIMEOUT_MS },
        (answer) => replica.heartbeat(answer),
        (reply) => this.onHeartbeatReply(reply, sentAt),
      );
    }
    clock.schedule(HEARTBEAT_MS, () => this.sendHeartbeats());
  }

  /** Time before which every acknowledged change is applied here, according to the proof; undefined if not running. */
  get provenAt(): number | undefined {
    const { clock } = this.network;
    if (!this.machine.isAlive || this.machine.isFrozen) return undefined;
    return clock.now() - this.proof.ageMs(clock.now());
  }

  private onHeartbeatReply(reply: ConfirmedRevision | undefined, sentAt: number): void {
    if (reply?.confirmedAgeMs === undefined) return;
    const { revision, confirmedAgeMs } = reply;
    const provenAt = sentAt - confirmedAgeMs;
    this.proof.onConfirmed({ revision, provenAt }, this.applied ?? -1);
  }

  start(): void {
    this.proof = new ConfigurationProof();
    if (this.tracksStaleness) this.sendHeartbeats();
    this.view = new ConfigurationView();
    this.applied = undefined;
    this.inForceAtStart = this.checker.inForceRevision;
    this.sync();
  }

  crash(): void {
    this.machine.kill();
  }

  restart(): void {
    this.machine.restart();
    this.start();
  }

  private sync(): void {
    const { network, machine, random, replicas } = this;
    const replica = replicas[random.nextInt(replicas.length)]!;
    const clock = new MachineClock(network.clock, machine);
    const request = this.view.request();
    exchange<SyncResponse | undefined>(
      { ...network.exchangeDefaults, from: machine, to: replica.machine, timeoutMs: TIMEOUT_MS },
      (answer) => replica.sync(request, answer),
      (response) => {
        if (response !== undefined) this.apply(response);
        clock.schedule(response === undefined ? RETRY_MS : 0, () => this.sync());
      },
    );
  }

  private apply(response: SyncResponse): void {
    if (!this.view.apply(response).configurationChanged) return;
    const { appliedRevision } = this.view;
    this.checker.onFollowerApplied(
      this.machine.id,
      appliedRevision,
      this.applied,
      this.inForceAtStart,
    );
    this.checker.compareContents(
      this.machine.id,
      appliedRevision,
      JSON.stringify(this.view.resourceList()),
    );
    this.applied = appliedRevision;
    this.proof.onApplied(appliedRevision);
  }
}
