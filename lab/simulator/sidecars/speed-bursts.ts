/**
 * Phases in which a simulated target works more slowly than usual, at random times. Computes when a piece of work ends that
 * runs through several phases.
 */
import { sampleExponential, type RandomSource } from '../../../src/common/random.js';

/** How often and how much the targets of a service slow down. */
export interface BurstOptions {
  /** Fraction of the time that a target is slowed down, 0 to 1. */
  readonly part: number;
  /** Mean duration of a slow phase. */
  readonly meanMs: number;
  /** Multiple of the usual duration of work during a slow phase. */
  readonly factor: number;
}

export class SpeedBursts {
  private isSlow = false;
  private endsAt: number;
  /** Phases that began before the latest one are forgotten: work is scheduled in the order of time. */
  private startsAt = 0;

  constructor(
    private readonly options: BurstOptions,
    private readonly random: RandomSource,
  ) {
    this.endsAt = this.phaseMs();
  }

  /** Multiple of the usual duration of work at a time. */
  factorAt(now: number): number {
    while (now >= this.endsAt) {
      this.isSlow = !this.isSlow;
      this.startsAt = this.endsAt;
      this.endsAt += this.phaseMs();
    }
    return this.isSlow ? this.options.factor : 1;
  }

  /** Time until the end of the phase, in milliseconds. */
  phaseLeftMs(now: number): number {
    this.factorAt(now);
    return this.endsAt - Math.max(now, this.startsAt);
  }

  private phaseMs(): number {
    const { part, meanMs } = this.options;
    const usualMs = (meanMs * (1 - part)) / part;
    return sampleExponential(this.random, this.isSlow ? meanMs : usualMs);
  }
}
