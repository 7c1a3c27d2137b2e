/**
 * The part of the requests that lead to one bottleneck service which is admitted, over all ranks: the lowest rank is shut out
 * first, and a higher one only once the lower ones are. The part is the inverse of the told ratio of demand to capacity.
 */
import { averagingWeight } from '../common/averaging-weight.js';
import type { Clock } from '../common/clock.js';
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';

/** Time constant of the average of what is told, in milliseconds, and the smallest weight of one answer. */
const AVERAGING_MS = 50;
const MIN_WEIGHT = 0.1;
/** Part of a rank that is shut out which is still admitted as probes, so that answers keep telling the ratio. */
const PROBE_PART = 0.02;
/** Part below which a rank counts as shut out. */
const SHUT_BELOW = 0.1;
/**
 * Time for which the lower ranks are shut out before a rank is, in milliseconds: what was admitted before still waits at the
 * bottleneck for about that long. And the time in which the part of a rank falls from 1 to 0 at most.
 */
const EFFECT_MS = 2_000;
const FALL_MS = 300;
/** Longest time that one step of the parts applies, in milliseconds. */
const MAX_STEP_MS = 100;
/** Admitted part from which the level is open. */
const OPEN_ABOVE = 0.999;
/** Admitted part below which ranks that are admitted in full are favoured. */
const FAVOURS_BELOW = 0.95;
/** Part of a rank from which it counts as admitted in full. */
const FAVOURED_PART = 0.8;
/** Work of a rank below which it counts as absent, in milliseconds of slots. */
const MIN_WORK_MS = 10;
/** Requests of a rank below which it counts as absent. */
export const MIN_OFFERED = 0.5;
/** Time without news after which the level opens, and the time constant with which the ratio then falls, in milliseconds. */
const MAX_NEWS_AGE_MS = 1_500;
const OPENING_MS = 1_000;

/** Recent requests at this process, by importance. */
export interface OfferedMix {
  /** Work of those that are known to lead to the service, in milliseconds of its slots. */
  readonly offered: readonly number[];
  /** Whether there are any, also of routes that are not known to lead there. */
  readonly isPresent: readonly boolean[];
}

export class RoomLevel {
  /** Ratio of demand to capacity, at least 1. */
  private pressure = 1;
  private toldAt: number;
  private updatedAt: number;
  /** Admitted part by importance, and when it was last above {@link SHUT_BELOW}. */
  private readonly parts = new Array<number>(IMPORTANCE_COUNT).fill(1);
  private readonly shutSince: number[];
  /** Lowest importance with work for the service. */
  private lowestOffered: number = IMPORTANCE_COUNT;

  constructor(private readonly clock: Clock) {
    this.toldAt = clock.now();
    this.updatedAt = this.toldAt;
    this.shutSince = new Array<number>(IMPORTANCE_COUNT).fill(this.toldAt);
  }

  /** An answer told the ratio of demand to capacity; 1 if there is room for all. */
  onPressure(told: number): void {
    const before = this.currentPressure();
    const now = this.clock.now();
    const weight = averagingWeight(now - this.toldAt, AVERAGING_MS, MIN_WEIGHT);
    this.toldAt = now;
    this.pressure = before + weight * (Math.max(1, told) - before);
  }

  /** Whether all requests are admitted. */
  get isOpen(): boolean {
    return this.admittedPart >= OPEN_ABOVE;
  }

  /** Part of the offered requests that is admitted, over all ranks, 0 to 1. */
  get admittedPart(): number {
    return 1 / this.currentPressure();
  }

  /** Whether lower ranks are refused in favour of one importance that is admitted in full or nearly so. */
  favours(importance: Importance): boolean {
    if (this.admittedPart >= FAVOURS_BELOW || importance <= this.lowestOffered) return false;
    return this.parts[importance]! >= FAVOURED_PART;
  }

  /** Part of the requests of one importance that is admitted, 0 to 1. */
  admittedPartOf(importance: Importance, mix: OfferedMix): number {
    this.update(mix);
    return this.parts[importance]!;
  }

  /** Moves the parts of all ranks towards what the told ratio leaves for them. */
  private update(mix: OfferedMix): void {
    const { offered } = mix;
    const now = this.clock.now();
    const elapsedMs = Math.min(MAX_STEP_MS, now - this.updatedAt);
    this.updatedAt = now;
    const mayFall = this.ranksThatMayFall(mix);
    let room = this.admittedPart * offered.reduce((total, work) => total + work, 0);
    this.lowestOffered = IMPORTANCE_COUNT;
    for (let each = IMPORTANCE_COUNT - 1; each >= 0; each -= 1) {
      const own = offered[each]!;
      const before = this.parts[each]!;
      const fitting = own > 0 ? room / own : 1;
      const wanted = Math.min(1, Math.max(PROBE_PART, fitting));
      room -= own;
      const part = Math.max(wanted, mayFall[each] ? before - elapsedMs / FALL_MS : before);
      this.parts[each] = part;
      if (own < MIN_WORK_MS) continue;
      this.lowestOffered = each;
      if (part > SHUT_BELOW) this.shutSince[each] = now;
    }
  }

  /** By importance: whether all lower ranks are absent, or shut out for long enough. */
  private ranksThatMayFall({ offered, isPresent }: OfferedMix): boolean[] {
    const now = this.clock.now();
    let mayFall = true;
    return this.parts.map((part, each) => {
      const isAllowed = mayFall;
      const isShut = part <= SHUT_BELOW || offered[each]! < MIN_WORK_MS;
      mayFall &&= !isPresent[each] || (isShut && now - this.shutSince[each]! >= EFFECT_MS);
      return isAllowed;
    });
  }

  private currentPressure(): number {
    const silentMs = this.clock.now() - this.toldAt - MAX_NEWS_AGE_MS;
    return silentMs <= 0
      ? this.pressure
      : 1 + (this.pressure - 1) * Math.exp(-silentMs / OPENING_MS);
  }
}
