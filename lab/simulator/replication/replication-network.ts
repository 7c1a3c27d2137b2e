/** A {@link SimNetwork} between control replicas that also drops, duplicates and reorders messages. */
import type { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { MessageTarget } from '../../../src/consensus/raft-types.js';
import type { ExchangeOptions } from '../sim-exchange.js';
import { SimNetwork, type SimMachine } from '../sim-network.js';
import type { SimReplica } from './sim-replica.js';

const ZONE_LATENCY_MS = 4;
const REORDER_SPREAD_MS = 40;

/** Probabilities for each message between replicas. */
const DROP_CHANCE = 0.02;
const DUPLICATE_CHANCE = 0.03;
const DELAY_CHANCE = 0.1;

export class ReplicationNetwork {
  readonly network: SimNetwork;
  private readonly replicas = new Map<string, SimReplica>();

  constructor(
    readonly clock: VirtualClock,
    private readonly random: RandomSource,
  ) {
    this.network = new SimNetwork({
      clock,
      random,
      zoneLatencyMs: ZONE_LATENCY_MS,
    });
  }

  /** The clock and network for an exchange of messages. */
  get exchangeDefaults(): Pick<ExchangeOptions, 'clock' | 'network'> {
    return { clock: this.clock, network: this.network };
  }

  addReplica(replica: SimReplica): void {
    this.replicas.set(replica.name, replica);
  }

  sendRaft(from: SimMachine, to: MessageTarget, bytes: Uint8Array): void {
    const receiver = this.replicas.get(to.origin);
    if (receiver === undefined || this.isDrawn(DROP_CHANCE)) return;
    const deliver = (): void => receiver.receiveRaft(to.identity, bytes);
    this.deliver(from, receiver.machine, deliver);
    if (this.isDrawn(DUPLICATE_CHANCE)) this.deliver(from, receiver.machine, deliver);
  }

  private deliver(from: SimMachine, to: SimMachine, work: () => void): void {
    const extraMs = this.isDrawn(DELAY_CHANCE) ? this.random.next() * REORDER_SPREAD_MS : 0;
    this.clock.schedule(extraMs, () => this.network.send(from, to, work));
  }

  private isDrawn(probability: number): boolean {
    return this.random.next() < probability;
  }
}
