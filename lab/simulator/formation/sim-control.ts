/** A simulated control replica with `seeds`, on a machine and disk of its own. It stores nothing but the replicated log. */
import type { Clock } from '../../../src/common/clock.js';
import { decodeMessage } from '../../../src/common/message-codec.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { MessageTarget, RaftMessage } from '../../../src/consensus/raft-types.js';
import { ReplicaHost } from '../../../src/consensus/replica-host.js';
import type { ReplicaSet, Snapshot } from '../../../src/storage/persisted-state.js';
import { scanRecords } from '../../../src/storage/record-format.js';
import type { StorageFiles } from '../../../src/storage/storage-files.js';
import { MachineClock } from '../machine-clock.js';
import { SimDisk } from '../replication/sim-disk.js';
import { SimMachine } from '../sim-network.js';

export const SEED_NAMES: readonly string[] = ['a', 'b', 'c'];

const ELECTION_TIMEOUT_MS = 600;
const MAX_VOTERS = 5;
const SNAPSHOT_FILE = 'snapshot';

export interface SimControlOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly send: (from: SimControl, to: MessageTarget, message: RaftMessage) => void;
  /** Additional time of each sync to disk, in milliseconds. */
  readonly slownessMs: number;
  /** Called with each initial replica set that is written to disk. */
  readonly onFormed: (replicas: ReplicaSet) => void;
}

export class SimControl {
  readonly machine: SimMachine;
  /** Whether it has had another disk before. */
  hasLostDisk = false;
  private readonly disk: SimDisk;
  private host: ReplicaHost | undefined;
  private identitiesDrawn = 0;

  constructor(private readonly options: SimControlOptions) {
    const { name, clock, random, slownessMs } = options;
    this.machine = new SimMachine(name, name);
    this.machine.kill();
    this.disk = new SimDisk({ clock, random, acknowledgesBeforeSync: false, slownessMs });
  }

  get name(): string {
    return this.options.name;
  }

  get isRunning(): boolean {
    return this.machine.isAlive;
  }

  /** Whether it leads and has committed an entry of its term. */
  get leadsWithCommit(): boolean {
    const status = this.machine.isAlive ? this.host?.raftStatus : undefined;
    return status?.role === 'leader' && status.confirmedAt !== undefined;
  }

  start(bootstrap: boolean): void {
    const { name, clock, random, send } = this.options;
    this.machine.restart();
    this.host = new ReplicaHost({
      clock: new MachineClock(clock, this.machine),
      random,
      files: this.watch(this.disk.mount()),
      transport: { send: (to, message) => send(this, to, message) },
      stateMachine: {
        apply: () => undefined,
        takeSnapshot: () => Buffer.alloc(0),
        restoreSnapshot: () => undefined,
      },
      name,
      origin: name,
      role: 'voter',
      contacts: SEED_NAMES.filter((seed) => seed !== name),
      join: !(bootstrap && SEED_NAMES.includes(name)),
      seeds: SEED_NAMES,
      electionTimeoutMs: ELECTION_TIMEOUT_MS,
      maxVoters: MAX_VOTERS,
      generateIdentity: () => this.drawIdentity(),
    });
    this.host.start();
  }

  /** Ends the process, and its machine's power: what was not synced may be lost. */
  kill(losesDisk: boolean): void {
    this.machine.kill();
    this.disk.crash();
    this.host = undefined;
    if (!losesDisk) return;
    this.disk.wipe();
    this.hasLostDisk = true;
  }

  receive(identity: string, message: RaftMessage): void {
    this.host?.receive(identity, message);
  }

  private watch(files: StorageFiles): StorageFiles {
    return {
      ...files,
      replace: (name, bytes, done) => {
        if (name === SNAPSHOT_FILE) this.onSnapshot(bytes);
        files.replace(name, bytes, done);
      },
    };
  }

  private onSnapshot(bytes: Uint8Array): void {
    const { index, replicas } = decodeMessage<Snapshot>(scanRecords(bytes).payloads[0]!);
    if (index === 0) this.options.onFormed(replicas);
  }

  private drawIdentity(): string {
    this.identitiesDrawn += 1;
    return `${this.name}#${this.identitiesDrawn}`;
  }
}
