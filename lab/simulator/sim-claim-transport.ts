/** Sends claim messages over a simulated network. */
import type { Clock } from '../../src/common/clock.js';
import type { ClaimMessage, ClaimReply, ClaimTransport } from '../../src/dedup/claim-messages.js';
import type { ClaimReplica } from '../../src/dedup/claim-replica.js';
import { exchange } from './sim-exchange.js';
import type { SimMachine, SimNetwork } from './sim-network.js';

/** A node with a claim replica. */
export interface ClaimReplicaHost {
  readonly machine: SimMachine;
  readonly claimReplica: ClaimReplica;
}

/** The clock, the network and the claim replicas that can be reached over it. */
export interface ClaimNetwork {
  readonly clock: Clock;
  readonly network: SimNetwork;
  claimReplicaHost(id: string): ClaimReplicaHost;
}

export class SimClaimTransport implements ClaimTransport {
  /** @param timeoutMs time after which a request without a reply is reported as `undefined` */
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
