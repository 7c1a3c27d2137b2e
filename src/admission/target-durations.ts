/** Moving averages of the time that answered calls spend in the target, by kind and over all kinds. */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one call in a mean: covers about the last twenty calls. */
const WEIGHT = 0.05;
/** Maximum number of tracked kinds; bounds memory, since kinds change with the configured routes. */
const MAX_KINDS = 1_000;

export class TargetDurations {
  private readonly byKind = new BoundedMap<number>(MAX_KINDS);
  private overallMs: number | undefined;

  /** Mean over all kinds, in milliseconds; undefined before the first answered call. */
  get meanMs(): number | undefined {
    return this.overallMs;
  }

  /** Mean of one kind, in milliseconds; undefined before its first answered call. */
  meanOf(kind: string): number | undefined {
    return this.byKind.get(kind);
  }

  /** Records an answered call. @param durationMs its time in the target, in milliseconds */
  onAnswered(kind: string, durationMs: number): void {
    this.overallMs = updatedMean(this.overallMs, durationMs);
    this.byKind.set(kind, updatedMean(this.byKind.get(kind), durationMs));
  }
}

function updatedMean(mean: number | undefined, sampleMs: number): number {
  return mean === undefined ? sampleMs : mean + WEIGHT * (sampleMs - mean);
}
