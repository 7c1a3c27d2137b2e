/**
 * Five control replicas, three of them seeds, that start for the first time under faults: one seed and perhaps one of the
 * others are killed, frozen, cut off or lose their disks, at drawn moments. The same seed always gives the same run.
 */
import { decodeMessage, encodeMessage } from '../../../src/common/message-codec.js';
import { SeededRandom } from '../../../src/common/random.js';
import { VirtualClock } from '../../../src/common/virtual-clock.js';
import type { MessageTarget } from '../../../src/consensus/raft-types.js';
import { SimNetwork, type CutDirection } from '../sim-network.js';
import { SEED_NAMES, SimControl } from './sim-control.js';

export interface FormationRunResult {
  /** Different initial replica sets that were written to a disk. */
  readonly sets: readonly string[];
  /** Time from the start of the second sound seed until a leader had committed an entry, in milliseconds. */
  readonly committedAfterMs: number | undefined;
  /** Whether a leader that commits was there at the end, after all faults. */
  readonly hasLeaderAtEnd: boolean;
  /** Injected faults with their times, in order. */
  readonly faults: readonly string[];
}

const OTHER_NAMES = ['d', 'e'];
const LATENCY_MS = 4;
const START_SPREAD_MS = 300;
const STEP_MS = 5;
/** Faults begin within the first time most often, else within the second. */
const EARLY_FAULTS_MS = 1_200;
const LATE_FAULTS_MS = 10_000;
const EARLY_FAULT_CHANCE = 0.85;
const MAX_FAULT_MS = 1_500;
const MAX_FAULTS = 3;
/** Time after the last fault in which a leader is elected, at the latest. */
const SETTLE_MS = 5_000;
const CUTS: readonly CutDirection[] = ['both', 'inbound', 'outbound'];

// Probabilities for each message between replicas.
const DROP_CHANCE = 0.01;
const DUPLICATE_CHANCE = 0.03;
const DELAY_CHANCE = 0.1;
const MAX_DELAY_MS = 40;

export class FormationWorld {
  private readonly clock = new VirtualClock();
  private readonly random: SeededRandom;
  private readonly network: SimNetwork;
  private readonly replicas: readonly SimControl[];
  private readonly sets = new Set<string>();
  private readonly faults: string[] = [];
  private lastFaultEndsAt = 0;

  /** @param slownessMs additional time of each sync to disk */
  constructor(
    private readonly seed: number,
    private readonly slownessMs = 0,
  ) {
    this.random = new SeededRandom(seed);
    const { clock, random } = this;
    this.network = new SimNetwork({ clock, random, zoneLatencyMs: LATENCY_MS });
    this.replicas = [...SEED_NAMES, ...OTHER_NAMES].map((name, index) => this.create(name, index));
  }

  execute(): FormationRunResult {
    const victims = this.drawVictims();
    const startTimes = this.replicas.map((replica) => this.start(replica));
    for (const victim of victims) this.planFaults(victim);
    const soundSeeds = SEED_NAMES.flatMap((_, index) =>
      victims.includes(this.replicas[index]!) ? [] : [startTimes[index]!],
    );
    const committedAt = this.runUntilSettled();
    return {
      sets: [...this.sets],
      committedAfterMs: committedAt && committedAt - Math.max(...soundSeeds),
      hasLeaderAtEnd: this.hasLeader(),
      faults: this.faults,
    };
  }

  /** @returns the time of the first commit */
  private runUntilSettled(): number | undefined {
    let committedAt: number | undefined;
    while (this.clock.now() < this.lastFaultEndsAt + SETTLE_MS) {
      this.clock.advance(STEP_MS);
      if (this.hasLeader()) committedAt ??= this.clock.now();
    }
    return committedAt;
  }

  private hasLeader(): boolean {
    return this.replicas.some(({ leadsWithCommit }) => leadsWithCommit);
  }

  private create(name: string, index: number): SimControl {
    return new SimControl({
      name,
      clock: this.clock,
      random: new SeededRandom(this.seed * 8 + index),
      slownessMs: this.slownessMs,
      send: (from, to, message) => this.send(from, to, encodeMessage(message)),
      onFormed: (replicas) => this.sets.add(JSON.stringify(replicas)),
    });
  }

  private drawVictims(): SimControl[] {
    const { random, replicas } = this;
    const seed = replicas[random.nextInt(SEED_NAMES.length)]!;
    const other = replicas[SEED_NAMES.length + random.nextInt(OTHER_NAMES.length)]!;
    return random.next() < 0.5 ? [seed, other] : [seed];
  }

  /** @returns the time of the start */
  private start(replica: SimControl): number {
    const startsAt = this.random.next() * START_SPREAD_MS;
    this.clock.schedule(startsAt, () => replica.start(true));
    this.lastFaultEndsAt = Math.max(this.lastFaultEndsAt, startsAt);
    return startsAt;
  }

  private planFaults(victim: SimControl): void {
    const { random } = this;
    const count = 1 + random.nextInt(MAX_FAULTS);
    for (let fault = 0; fault < count; fault += 1) {
      const spreadMs = random.next() < EARLY_FAULT_CHANCE ? EARLY_FAULTS_MS : LATE_FAULTS_MS;
      const beginsAt = random.next() * spreadMs;
      const lastsMs = random.next() * MAX_FAULT_MS;
      this.lastFaultEndsAt = Math.max(this.lastFaultEndsAt, beginsAt + lastsMs);
      this.planFault(victim, beginsAt, lastsMs);
    }
  }

  private planFault(victim: SimControl, beginsAt: number, lastsMs: number): void {
    const { clock, random } = this;
    const kind = random.nextInt(5);
    const direction = CUTS[random.nextInt(CUTS.length)]!;
    const bootstrap = random.next() < 0.5;
    clock.schedule(beginsAt, () => {
      if (!victim.isRunning) return;
      this.logFault(
        victim,
        ['kill', 'lose disk', 'cut', 'freeze', 'kill for good'][kind]!,
        lastsMs,
      );
      if (kind === 2) victim.machine.cutDirection = direction;
      else if (kind === 3) victim.machine.freeze();
      else victim.kill(kind === 1);
      if (kind === 4) return;
      clock.schedule(lastsMs, () => {
        if (kind === 2) victim.machine.cutDirection = undefined;
        else if (kind === 3) victim.machine.thaw();
        // Only a first start has `bootstrap: true` on an empty disk.
        else if (!victim.isRunning) victim.start(kind === 0 && bootstrap && !victim.hasLostDisk);
      });
    });
  }

  private logFault({ name }: SimControl, kind: string, lastsMs: number): void {
    const now = Math.round(this.clock.now());
    this.faults.push(`${now} ms: ${kind} ${name} for ${Math.round(lastsMs)} ms`);
  }

  private send(from: SimControl, to: MessageTarget, bytes: Uint8Array): void {
    const receiver = this.replicas.find(({ name }) => name === to.origin);
    if (receiver === undefined || this.random.next() < DROP_CHANCE) return;
    const copies = this.random.next() < DUPLICATE_CHANCE ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      const isDelayed = this.random.next() < DELAY_CHANCE;
      const delayMs = isDelayed ? this.random.next() * MAX_DELAY_MS : 0;
      this.clock.schedule(delayMs, () => {
        this.network.send(from.machine, receiver.machine, () => {
          receiver.receive(to.identity, decodeMessage(bytes));
        });
      });
    }
  }
}
