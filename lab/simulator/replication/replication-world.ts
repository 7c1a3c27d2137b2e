/**
 * Simulates control replicas, operators and followers under faults: crashes, lost or full disks, network
 * cuts, freezes, and lost, duplicated or reordered messages. The same seed always gives the same run.
 */
import { SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { Replica } from '../../../src/storage/persisted-state.js';
import { ALL_RAFT_MECHANISMS, type RaftMechanisms } from './raft-mechanisms.js';
import { ReplicationChecker } from './replication-checker.js';
import { ReplicationFaults } from './replication-faults.js';
import { ReplicationNetwork } from './replication-network.js';
import { SimFollower } from './sim-follower.js';
import { SimReplica } from './sim-replica.js';
import { SimWriter } from './sim-writer.js';

/** Lab-only switches; everything is enabled in the product. */
export interface ReplicationMechanisms extends RaftMechanisms {
  /** A write is acknowledged only after it is synced to disk. */
  readonly syncBeforeAnswer: boolean;
  /** A replica with an empty disk gets a new identity. */
  readonly newIdentity: boolean;
}

export const ALL_REPLICATION_MECHANISMS: ReplicationMechanisms = {
  ...ALL_RAFT_MECHANISMS,
  syncBeforeAnswer: true,
  newIdentity: true,
};

export interface ReplicationRun {
  readonly seed: number;
  readonly faultMs: number;
  readonly mechanisms: ReplicationMechanisms;
  /** Whether followers bound the age of their configuration by heartbeats and are checked for it. Default false. */
  readonly tracksFollowerStaleness?: boolean;
  /** Whether all other replicas lose power whenever a disk is lost. Default false. */
  readonly losesPowerWithDisks?: boolean;
}

export interface ReplicationResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Number of changes acknowledged as accepted. */
  readonly accepted: number;
  /** Time from the last fault until a new change was applied by every follower, in milliseconds. */
  readonly recoveredAfterMs: number | undefined;
  /** Injected faults, in order. */
  readonly faults: readonly string[];
  /** Sum over all followers of the time in which their proof was checked, in milliseconds. */
  readonly provenMs: number;
}

interface Placement {
  readonly name: string;
  readonly zone: string;
  readonly role: Replica['role'];
}

/** Four machines in two regions: two voters in one region, a voter and a learner in the other. */
const PLACEMENTS: readonly Placement[] = [
  { name: 'control-1', zone: 'a-1', role: 'voter' },
  { name: 'control-2', zone: 'a-2', role: 'voter' },
  { name: 'control-3', zone: 'b-1', role: 'voter' },
  { name: 'control-4', zone: 'b-2', role: 'learner' },
];
const WRITERS = 3;
const FOLLOWERS = 4;
const RECOVERY_TIMEOUT_MS = 20_000;
const STEP_MS = 20;

export class ReplicationWorld {
  readonly clock = new VirtualClock();
  readonly random: SeededRandom;
  readonly checker = new ReplicationChecker(() => this.clock.now());
  readonly replicas: readonly SimReplica[];
  readonly followers: readonly SimFollower[];
  private provenMs = 0;
  private readonly network: ReplicationNetwork;
  private readonly writers: readonly SimWriter[];

  constructor(private readonly run: ReplicationRun) {
    this.random = new SeededRandom(run.seed);
    this.network = new ReplicationNetwork(this.clock, this.random);
    this.replicas = PLACEMENTS.map((placement, index) => this.createReplica(placement, index));
    for (const replica of this.replicas) this.network.addReplica(replica);
    this.writers = Array.from({ length: WRITERS }, (_, index) => {
      const zone = PLACEMENTS[index]!.zone;
      const { replicas, network, checker, random } = this;
      return new SimWriter(`operator-${index + 1}`, zone, replicas, network, checker, random);
    });
    this.followers = Array.from({ length: FOLLOWERS }, (_, index) => {
      const zone = PLACEMENTS[index % PLACEMENTS.length]!.zone;
      const { replicas, network, checker, random } = this;
      const tracksStaleness = run.tracksFollowerStaleness ?? false;
      return new SimFollower(
        `node-${index + 1}`,
        zone,
        replicas,
        network,
        checker,
        random,
        tracksStaleness,
      );
    });
  }

  execute(): ReplicationResult {
    for (const process of [...this.replicas, ...this.writers, ...this.followers]) process.start();
    const faults = new ReplicationFaults(this, this.run.losesPowerWithDisks ?? false);
    while (this.clock.now() < this.run.faultMs) {
      this.step();
      faults.maybeInject();
    }
    faults.endAllFaults();
    const recoveredAfterMs = this.waitUntilRecovered();
    this.checker.checkFinalState(this.highestRevision());
    if (recoveredAfterMs === undefined) {
      this.checker.addViolation(
        `changes were not in force everywhere ${RECOVERY_TIMEOUT_MS} ms after the faults`,
      );
    }
    return {
      seed: this.run.seed,
      violations: this.checker.violations,
      accepted: this.checker.acceptedCount,
      recoveredAfterMs,
      faults: faults.log,
      provenMs: this.provenMs,
    };
  }

  private createReplica(placement: Placement, index: number): SimReplica {
    const { mechanisms, seed } = this.run;
    return new SimReplica({
      ...placement,
      contacts: PLACEMENTS.map((other) => other.name).filter((name) => name !== placement.name),
      network: this.network,
      checker: this.checker,
      seed: seed * PLACEMENTS.length + index,
      mechanisms,
      acknowledgesBeforeSync: !mechanisms.syncBeforeAnswer,
      reusesIdentity: !mechanisms.newIdentity,
    });
  }

  private step(): void {
    this.clock.advance(STEP_MS);
    const applied = this.followers.map((follower) => follower.appliedRevision ?? 0);
    this.checker.onInForce(Math.min(...applied));
    for (const follower of this.followers) this.checkProof(follower);
  }

  private checkProof({ machine, provenAt, appliedRevision }: SimFollower): void {
    if (provenAt === undefined || appliedRevision === undefined) return;
    this.provenMs += STEP_MS;
    this.checker.onFollowerProof(machine.id, appliedRevision, provenAt);
  }

  /** Runs until a change made after the faults is applied by every follower; undefined on timeout. */
  private waitUntilRecovered(): number | undefined {
    const faultsEndedAt = this.clock.now();
    const goal = this.checker.acceptedCount + 1;
    while (this.clock.now() - faultsEndedAt < RECOVERY_TIMEOUT_MS) {
      this.step();
      if (this.checker.acceptedCount < goal) continue;
      for (const writer of this.writers) writer.stop();
      const target = this.checker.acknowledgedState().revision;
      const everywhere = this.followers.every(({ appliedRevision }) => {
        return appliedRevision !== undefined && appliedRevision >= target;
      });
      if (everywhere) return this.clock.now() - faultsEndedAt;
    }
    return undefined;
  }

  private highestRevision(): number {
    return Math.max(...this.replicas.map((replica) => replica.store.revision));
  }
}
