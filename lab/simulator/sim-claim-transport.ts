/** Carries messages about claims over a simulated network. Relies on its world to know who keeps claims. */
import type { Clock } from '../../src/common/clock.js';
import type { ClaimMessage, ClaimReply, ClaimTransport } from '../../src/dedup/claim-messages.js';
import type { ClaimReplica } from '../../src/dedup/claim-replica.js';
import { exchange } from './sim-exchange.js';
import type { SimMachine, SimNetwork } from './sim-network.js';

/** A node that keeps claims. */
export interface ClaimReplicaHost {
  readonly machine: SimMachine;
  readonly claimReplica: ClaimReplica;
}

/** What carries the messages, and between whom. */
export interface ClaimNetwork {
  readonly clock: Clock;
  readonly network: SimNetwork;
  claimReplicaHost(id: string): ClaimReplicaHost;
}

export class SimClaimTransport implements ClaimTransport {
  /** @param timeoutMs time after which a message counts as not answered */
  constructor(
    private readonly world: ClaimNetwork,
    private readonly from: SimMachine,
    private readonly timeoutMs: number,
  ) {}

  request(
    memberId: string,
    message: ClaimMessage,
    onReply: (reply: ClaimReply | undefined) => void,
  ): void {
    const { network, clock } = this.world;
    const { from, timeoutMs } = this;
    const host = this.world.claimReplicaHost(memberId);
    exchange<ClaimReply>(
      { network, clock, from, to: host.machine, timeoutMs },
      (answer) => answer(host.claimReplica.handle(message)),
      onReply,
    );
  }
}
