/**
 * The simulated network: messages between machines arrive after a latency that depends on their zones,
 * are lost while a machine is cut off, and are deferred while the receiver is frozen.
 */
import type { Clock } from '../../src/common/clock.js';
import type { RandomSource } from '../../src/common/random.js';

/** The direction in which a machine that is cut off loses messages. */
export type CutDirection = 'both' | 'inbound' | 'outbound';

const JITTER_FRACTION = 0.2;

/** A machine of the simulated deployment. */
export class SimMachine {
  /** Number of starts. Messages and timers of an earlier incarnation are dropped. */
  incarnation = 1;
  isAlive = true;
  private frozen = false;
  private deferredWork: (() => void)[] = [];
  cutDirection: CutDirection | undefined;
  /** Extra one-way latency of every message to and from this machine, in milliseconds. */
  extraLatencyMs = 0;

  constructor(
    readonly id: string,
    readonly zone: string,
  ) {}

  get isFrozen(): boolean {
    return this.frozen;
  }

  /** Runs `work` now, or after the thaw if the machine is frozen. Drops it if the machine is killed before. */
  runOrDefer(work: () => void): void {
    if (!this.isAlive) return;
    if (this.frozen) this.deferredWork.push(work);
    else work();
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const deferredWork = this.deferredWork;
    this.deferredWork = [];
    for (const work of deferredWork) this.runOrDefer(work);
  }

  kill(): void {
    this.isAlive = false;
    this.frozen = false;
    this.deferredWork = [];
  }

  restart(): void {
    this.isAlive = true;
    this.incarnation += 1;
  }
}

export interface SimNetworkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly zoneLatencyMs: number;
}

/** Latency inside a zone, in milliseconds. */
const LOCAL_LATENCY_MS = 0.1;

export class SimNetwork {
  constructor(private readonly options: SimNetworkOptions) {}

  /**
   * Delivers a message to the current incarnation of `to`.
   * @param onLost called after a round trip when the receiver's process has ended, like a TCP reset
   */
  send(from: SimMachine, to: SimMachine, deliver: () => void, onLost?: () => void): void {
    if (this.isCut(from, to)) return;
    const latencyMs = this.latencyMs(from, to);
    const { incarnation } = to;
    this.options.clock.schedule(latencyMs, () => {
      if (!to.isAlive || to.incarnation !== incarnation) {
        if (onLost !== undefined)
          this.options.clock.schedule(latencyMs, () => from.runOrDefer(onLost));
        return;
      }
      to.runOrDefer(deliver);
    });
  }

  /** Whether messages from `from` to `to` are currently lost. */
  isCut(from: SimMachine, to: SimMachine): boolean {
    const fromBlocked = from.cutDirection === 'both' || from.cutDirection === 'outbound';
    const toBlocked = to.cutDirection === 'both' || to.cutDirection === 'inbound';
    return fromBlocked || toBlocked;
  }

  private latencyMs(from: SimMachine, to: SimMachine): number {
    const base = from.zone === to.zone ? LOCAL_LATENCY_MS : this.options.zoneLatencyMs;
    return this.jitter(base) + from.extraLatencyMs + to.extraLatencyMs;
  }

  /** Adds a random part to a latency. */
  jitter(latencyMs: number): number {
    return latencyMs * (1 + JITTER_FRACTION * this.options.random.next());
  }
}
