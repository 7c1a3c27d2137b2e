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
  private healed = false;

  constructor(private readonly world: ReplicationWorld) {
    this.faults = [
      (replica) => this.crash(replica),
      (replica) => this.stop(replica),
      (replica) => this.freeze(replica.machine),
      (replica) => this.cut(replica.machine),
      (replica) => this.loseDisk(replica),
      (replica) => this.fillDisk(replica),
      () => this.restartFollower(),
      () => this.cutFollower(),
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
  healAll(): void {
    this.healed = true;
    const { replicas, followers } = this.world;
    for (const replica of replicas) replica.disk.full = false;
    for (const { machine } of [...replicas, ...followers]) this.mend(machine);
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
    this.note(`crash ${replica.name}`);
    replica.crash();
    this.later(() => this.bringBack(replica));
  }

  private stop(replica: SimReplica): void {
    if (!replica.machine.alive || replica.machine.isFrozen) return;
    this.note(`stop ${replica.name}`);
    replica.stop();
    this.later(() => this.bringBack(replica));
  }

  private freeze(machine: SimMachine): void {
    if (!machine.alive) return;
    this.note(`freeze ${machine.id}`);
    machine.freeze();
    this.later(() => machine.thaw());
  }

  private cut(machine: SimMachine): void {
    const direction = CUT_DIRECTIONS[this.world.random.below(CUT_DIRECTIONS.length)]!;
    this.note(`cut ${direction} ${machine.id}`);
    machine.cut = direction;
    this.later(() => this.uncut(machine));
  }

  /** A disk is lost only while the store is whole: with two lost at once no store can help. */
  private loseDisk(replica: SimReplica): void {
    if (!replica.machine.alive || !this.isWhole()) return;
    this.note(`lose disk ${replica.name}`);
    replica.crash();
    replica.disk.wipe();
    this.later(() => this.bringBack(replica));
  }

  private fillDisk(replica: SimReplica): void {
    if (!replica.machine.alive) return;
    this.note(`fill disk ${replica.name}`);
    replica.disk.full = true;
    this.later(() => {
      replica.disk.full = false;
      if (replica.running?.phase === 'failed') this.restartNow(replica);
    });
  }

  private restartFollower(): void {
    const { random, followers } = this.world;
    const follower = followers[random.below(followers.length)]!;
    if (!follower.machine.alive) return;
    this.note(`restart ${follower.machine.id}`);
    follower.crash();
    follower.restart();
  }

  private cutFollower(): void {
    const { random, followers } = this.world;
    this.cut(followers[random.below(followers.length)]!.machine);
  }

  /**
   * Whether a leader reports every voter in place: as many as there should be, each the replica that
   * runs under that name now. This is what `status` shows as a finished repair.
   */
  private isWhole(): boolean {
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

  private bringBack(replica: SimReplica): void {
    if (!replica.machine.alive) replica.restart();
  }

  private restartNow(replica: SimReplica): void {
    replica.crash();
    replica.restart();
  }

  private mend(machine: SimMachine): void {
    this.uncut(machine);
    if (machine.isFrozen) machine.thaw();
  }

  private uncut(machine: SimMachine): void {
    machine.cut = undefined;
  }

  private later(work: () => void): void {
    const { clock, random } = this.world;
    clock.schedule(random.next() * MAX_FAULT_MS, () => {
      if (!this.healed) work();
    });
  }

  private note(text: string): void {
    this.log.push(`${Math.round(this.world.clock.now())} ms: ${text}`);
  }
}
