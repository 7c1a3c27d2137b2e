/**
 * The part of the requests that lead to one bottleneck service which is admitted, over all ranks: the lowest rank is shut out
 * first, and a higher one only once the lower ones are. The part is the inverse of the told ratio of demand to capacity.
 */
import type { Clock } from '../common/clock.js';
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';

/** Time constant of the average of what is told, in milliseconds, and the smallest weight of one answer. */
const AVERAGING_MS = 50;
const MIN_WEIGHT = 0.1;
/** Part of a rank that is shut out which is still admitted as probes, so that answers keep telling the ratio. */
const PROBE_PART = 0.02;
/** Time constant over which the ranks of the offered requests are counted, in milliseconds. */
const MIX_MS = 5_000;
/** Time without news after which the level opens, and the time constant with which the ratio then falls, in milliseconds. */
const MAX_NEWS_AGE_MS = 1_500;
const OPENING_MS = 1_000;

export class RoomLevel {
  /** Ratio of demand to capacity, at least 1. */
  private pressure = 1;
  private toldAt: number;
  private mixAt: number;
  /** Decayed number of offered requests by importance. */
  private readonly offered = new Array<number>(IMPORTANCE_COUNT).fill(0);

  constructor(private readonly clock: Clock) {
    this.toldAt = clock.now();
    this.mixAt = this.toldAt;
  }

  /** Counts an offered request, whether or not it is admitted. */
  onOffered(importance: Importance): void {
    const now = this.clock.now();
    const kept = Math.exp((this.mixAt - now) / MIX_MS);
    this.mixAt = now;
    for (let each = 0; each < IMPORTANCE_COUNT; each += 1) this.offered[each]! *= kept;
    this.offered[importance]! += 1;
  }

  /** An answer told the ratio of demand to capacity; 1 if there is room for all. */
  onPressure(told: number): void {
    const before = this.currentPressure();
    const now = this.clock.now();
    const weight = Math.max(MIN_WEIGHT, 1 - Math.exp((this.toldAt - now) / AVERAGING_MS));
    this.toldAt = now;
    this.pressure = before + weight * (Math.max(1, told) - before);
  }

  /** Part of the offered requests that is admitted, over all ranks, 0 to 1. */
  get admittedPart(): number {
    return 1 / this.currentPressure();
  }

  /** Part of the requests of one importance that is admitted, 0 to 1. */
  admittedPartOf(importance: Importance): number {
    const { offered, admittedPart } = this;
    let total = 0;
    let moreUrgent = 0;
    for (let each = 0; each < IMPORTANCE_COUNT; each += 1) {
      total += offered[each]!;
      if (each > importance) moreUrgent += offered[each]!;
    }
    const room = admittedPart * total - moreUrgent;
    const part = room / Math.max(1, offered[importance]!);
    return Math.min(1, Math.max(PROBE_PART, part));
  }

  private currentPressure(): number {
    const silentMs = this.clock.now() - this.toldAt - MAX_NEWS_AGE_MS;
    return silentMs <= 0 ? this.pressure : 1 + (this.pressure - 1) * Math.exp(-silentMs / OPENING_MS);
  }
}
