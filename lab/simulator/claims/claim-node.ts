/** One node of a {@link ClaimWorld}: the product's claim modules over the simulated network. */
import type { ClaimDecision } from '../../../src/dedup/claim.js';
import type { ClaimCandidate } from '../../../src/control/claim-view-planner.js';
import { ClaimReplica } from '../../../src/dedup/claim-replica.js';
import type { ClaimView } from '../../../src/dedup/claim-view.js';
import { QuorumClaims } from '../../../src/dedup/quorum-claims.js';
import { MachineClock } from '../machine-clock.js';
import { SimClaimTransport, type ClaimReplicaHost } from '../sim-claim-transport.js';
import { SimMachine } from '../sim-network.js';
import type { ClaimWorld } from './claim-world.js';

const TIMEOUT_MS = 300;
/** Time until a call that was granted its key is answered. */
const EXECUTION_MS = 50;
const DEADLINE_MS = 1_000;
const UNWRITTEN_CHANCE = 0.1;

export class ClaimNode implements ClaimReplicaHost {
  readonly machine: SimMachine;
  claimReplica!: ClaimReplica;
  private claims!: QuorumClaims;
  private isStopping = false;

  constructor(
    readonly id: string,
    zone: string,
    private readonly world: ClaimWorld,
    private readonly assumeComplete: boolean,
  ) {
    this.machine = new SimMachine(id, zone);
    this.start();
  }

  get isFaulty(): boolean {
    const { isAlive, isFrozen, cutDirection } = this.machine;
    return !isAlive || isFrozen || cutDirection !== undefined || this.isStopping;
  }

  candidate(): ClaimCandidate {
    const { zone, incarnation } = this.machine;
    const { settledEpoch } = this.claimReplica;
    return { id: this.id, zone, incarnation, settledEpoch, isLeaving: false };
  }

  crash(): void {
    this.machine.kill();
  }

  /** Planned stop: hands the claims over, then ends the process. */
  stop(): void {
    this.isStopping = true;
    this.claimReplica.handOver(() => this.machine.kill());
  }

  restart(view: ClaimView | undefined): void {
    this.machine.restart();
    this.isStopping = false;
    this.start();
    if (view !== undefined) this.claimReplica.setView(view);
  }

  /** Handles a call with a key. `onDecision` is called with `granted` when the call runs. */
  call(key: string, onDecision: (decision: string) => void): void {
    const clock = new MachineClock(this.world.clock, this.machine);
    const deadlineAt = clock.now() + DEADLINE_MS;
    const handle = this.claims.claim(key, (decision: ClaimDecision) => {
      if (decision.type !== 'granted') {
        onDecision(decision.type);
        return;
      }
      // As in the product, a call past its deadline or not written to the target does not run.
      const isLate = clock.now() >= deadlineAt;
      if (isLate || this.world.random.next() < UNWRITTEN_CHANCE) {
        clock.schedule(0, () => handle.release());
        onDecision('released');
        return;
      }
      onDecision('granted');
      clock.schedule(EXECUTION_MS, () => handle.onAnswered());
    });
  }

  private start(): void {
    const clock = new MachineClock(this.world.clock, this.machine);
    const { incarnation } = this.machine;
    const transport = new SimClaimTransport(this.world, this.machine, TIMEOUT_MS);
    const parts = { clock, selfId: this.id, incarnation, transport };
    const { assumeComplete } = this;
    this.claimReplica = new ClaimReplica({
      ...parts,
      silentForMs: () => 0,
      assumeComplete,
    });
    this.claims = new QuorumClaims({ ...parts, replica: this.claimReplica });
  }
}
