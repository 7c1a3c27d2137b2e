/** Injects random faults into a {@link ReplicationWorld}, ends them, and keeps a log of them. */
import type { CutDirection, SimMachine } from '../sim-network.js';
import type { ReplicationWorld } from './replication-world.js';
import type { SimReplica } from './sim-replica.js';

const FAULT_CHANCE_PER_STEP = 0.08;
const MAX_FAULT_MS = 1_500;
const CUT_DIRECTIONS: readonly CutDirection[] = ['both', 'inbound', 'outbound'];

type Fault = (replica: SimReplica) => void;

export class ReplicationFaults {
  /** Injected faults with their times, in order. */
  readonly log: string[] = [];
  private readonly faults: readonly Fault[];
  private haveFaultsEnded = false;

  constructor(
    private readonly world: ReplicationWorld,
    private readonly losesPowerWithDisks: boolean,
  ) {
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

  /** Injects a random fault with a fixed chance. */
  maybeInject(): void {
    const { random, replicas } = this.world;
    if (random.next() >= FAULT_CHANCE_PER_STEP) return;
    const fault = this.faults[random.nextInt(this.faults.length)]!;
    // Faults hit the leader, if there is one, in more than half of the cases.
    const leader = replicas.find((replica) => replica.running?.raftStatus?.role === 'leader');
    const other = replicas[random.nextInt(replicas.length)]!;
    fault(leader !== undefined && random.next() < 0.5 ? leader : other);
  }

  /** Ends all faults and restarts every process that is down. */
  endAllFaults(): void {
    this.haveFaultsEnded = true;
    const { replicas, followers } = this.world;
    for (const replica of replicas) replica.disk.full = false;
    for (const { machine } of [...replicas, ...followers]) this.restoreMachine(machine);
    for (const process of [...replicas, ...followers]) {
      if (!process.machine.isAlive) process.restart();
    }
    // A replica that failed on a full disk needs a restart.
    for (const replica of replicas) {
      if (replica.running?.phase === 'failed') this.restartNow(replica);
    }
  }

  private crash(replica: SimReplica): void {
    if (!replica.machine.isAlive) return;
    this.logFault(`crash ${replica.name}`);
    replica.crash();
    this.scheduleRecovery(() => this.restartIfDown(replica));
  }

  private stop(replica: SimReplica): void {
    if (!replica.machine.isAlive || replica.machine.isFrozen) return;
    this.logFault(`stop ${replica.name}`);
    replica.stop();
    this.scheduleRecovery(() => this.restartIfDown(replica));
  }

  private freeze(machine: SimMachine): void {
    if (!machine.isAlive) return;
    this.logFault(`freeze ${machine.id}`);
    machine.freeze();
    this.scheduleRecovery(() => machine.thaw());
  }

  private disconnect(machine: SimMachine): void {
    const direction = CUT_DIRECTIONS[this.world.random.nextInt(CUT_DIRECTIONS.length)]!;
    this.logFault(`cut ${direction} ${machine.id}`);
    machine.cutDirection = direction;
    this.scheduleRecovery(() => this.reconnect(machine));
  }

  /** Wipes a disk only while all voters are in place: losing two disks at once loses data by design. */
  private loseDisk(replica: SimReplica): void {
    if (!replica.machine.isAlive || !this.areAllVotersSettled()) return;
    this.logFault(`lose disk ${replica.name}`);
    replica.crash();
    replica.disk.wipe();
    this.scheduleRecovery(() => this.restartIfDown(replica));
    if (!this.losesPowerWithDisks) return;
    for (const other of this.world.replicas) if (other !== replica) this.crash(other);
  }

  private fillDisk(replica: SimReplica): void {
    if (!replica.machine.isAlive) return;
    this.logFault(`fill disk ${replica.name}`);
    replica.disk.full = true;
    this.scheduleRecovery(() => {
      replica.disk.full = false;
      if (replica.running?.phase === 'failed') this.restartNow(replica);
    });
  }

  private restartFollower(): void {
    const { random, followers } = this.world;
    const follower = followers[random.nextInt(followers.length)]!;
    if (!follower.machine.isAlive) return;
    this.logFault(`restart ${follower.machine.id}`);
    follower.crash();
    follower.restart();
  }

  private disconnectFollower(): void {
    const { random, followers } = this.world;
    this.disconnect(followers[random.nextInt(followers.length)]!.machine);
  }

  /**
   * Whether the leader reports that membership is settled and every voter is the replica that currently
   * runs under its name. `status` shows this as a finished repair.
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
    if (!replica.machine.isAlive) replica.restart();
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
    machine.cutDirection = undefined;
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
