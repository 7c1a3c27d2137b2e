/**
 * Random faults against a {@link ReplicationWorld}, and their end. Owns the log of what was done; the seed is the
 * world's.
 */
import type { CutDirection, SimMachine } from '../sim-network.js';
import type { ReplicationWorld } from './replication-world.js';
import type { SimReplica } from './sim-replica.js';

const FAULT_CHANCE_PER_STEP = 0.08;
const MAX_FAULT_MS = 1_500;
const CUT_DIRECTIONS: readonly CutDirection[] = ['both', 'inbound', 'outbound'];

type Fault = (replica: SimReplica) => void;

export class ReplicationFaults {
  /** What was done, with times. */
  readonly log: string[] = [];
  private readonly faults: readonly Fault[];
  private haveFaultsEnded = false;

  constructor(private readonly world: ReplicationWorld) {
    this.faults = [
      (replica) => this.crash(replica),
      (replica) => this.stop(replica),
      (replica) => this.freeze(replica.machine),
      (replica) => this.disconnect(replica.machine),
      (replica) => this.loseDisk(replica),
      (replica) => this.fillDisk(replica),
      () => this.restartFollower(),
      () => this.disconnectFollower(),
    ];
  }

  /** Does something now and then. */
  maybeInject(): void {
    const { random, replicas } = this.world;
    if (random.next() >= FAULT_CHANCE_PER_STEP) return;
    const fault = this.faults[random.below(this.faults.length)]!;
    // The leader is hit as often as all others together.
    const leader = replicas.find((replica) => replica.running?.raftStatus?.role === 'leader');
    const other = replicas[random.below(replicas.length)]!;
    fault(leader !== undefined && random.next() < 0.5 ? leader : other);
  }

  /** Ends every fault and starts what is down. */
  endAllFaults(): void {
    this.haveFaultsEnded = true;
    const { replicas, followers } = this.world;
    for (const replica of replicas) replica.disk.full = false;
    for (const { machine } of [...replicas, ...followers]) this.restoreMachine(machine);
    for (const process of [...replicas, ...followers]) {
      if (!process.machine.alive) process.restart();
    }
    // A replica whose disk was full takes part again only after a restart.
    for (const replica of replicas) {
      if (replica.running?.phase === 'failed') this.restartNow(replica);
    }
  }

  private crash(replica: SimReplica): void {
    if (!replica.machine.alive) return;
    this.logFault(`crash ${replica.name}`);
    replica.crash();
    this.scheduleRecovery(() => this.restartIfDown(replica));
  }

  private stop(replica: SimReplica): void {
    if (!replica.machine.alive || replica.machine.isFrozen) return;
    this.logFault(`stop ${replica.name}`);
    replica.stop();
    this.scheduleRecovery(() => this.restartIfDown(replica));
  }

  private freeze(machine: SimMachine): void {
    if (!machine.alive) return;
    this.logFault(`freeze ${machine.id}`);
    machine.freeze();
    this.scheduleRecovery(() => machine.thaw());
  }

  private disconnect(machine: SimMachine): void {
    const direction = CUT_DIRECTIONS[this.world.random.below(CUT_DIRECTIONS.length)]!;
    this.logFault(`cut ${direction} ${machine.id}`);
    machine.cut = direction;
    this.scheduleRecovery(() => this.reconnect(machine));
  }

  /** A disk is lost only while the store is whole: with two lost at once no store can help. */
  private loseDisk(replica: SimReplica): void {
    if (!replica.machine.alive || !this.areAllVotersSettled()) return;
    this.logFault(`lose disk ${replica.name}`);
    replica.crash();
    replica.disk.wipe();
    this.scheduleRecovery(() => this.restartIfDown(replica));
  }

  private fillDisk(replica: SimReplica): void {
    if (!replica.machine.alive) return;
    this.logFault(`fill disk ${replica.name}`);
    replica.disk.full = true;
    this.scheduleRecovery(() => {
      replica.disk.full = false;
      if (replica.running?.phase === 'failed') this.restartNow(replica);
    });
  }

  private restartFollower(): void {
    const { random, followers } = this.world;
    const follower = followers[random.below(followers.length)]!;
    if (!follower.machine.alive) return;
    this.logFault(`restart ${follower.machine.id}`);
    follower.crash();
    follower.restart();
  }

  private disconnectFollower(): void {
    const { random, followers } = this.world;
    this.disconnect(followers[random.below(followers.length)]!.machine);
  }

  /**
   * Whether a leader reports every voter in place: as many as there should be, each the replica that
   * runs under that name now. This is what `status` shows as a finished repair.
   */
  private areAllVotersSettled(): boolean {
    const { replicas } = this.world;
    const leader = replicas.find((replica) => {
      const status = replica.running?.raftStatus;
      return status?.role === 'leader' && status.replicasSettled;
    });
    const voters = leader?.running?.raftStatus?.replicas.voters ?? [];
    const expected = replicas.filter((replica) => replica.role === 'voter');
    return expected.every((replica) => {
      const identity = replica.running?.identity;
      return identity !== undefined && voters.some((voter) => voter.identity === identity);
    });
  }

  private restartIfDown(replica: SimReplica): void {
    if (!replica.machine.alive) replica.restart();
  }

  private restartNow(replica: SimReplica): void {
    replica.crash();
    replica.restart();
  }

  private restoreMachine(machine: SimMachine): void {
    this.reconnect(machine);
    if (machine.isFrozen) machine.thaw();
  }

  private reconnect(machine: SimMachine): void {
    machine.cut = undefined;
  }

  private scheduleRecovery(work: () => void): void {
    const { clock, random } = this.world;
    clock.schedule(random.next() * MAX_FAULT_MS, () => {
      if (!this.haveFaultsEnded) work();
    });
  }

  private logFault(text: string): void {
    this.log.push(`${Math.round(this.world.clock.now())} ms: ${text}`);
  }
}
