/**
 * How long calls are in the target: by kind, since kinds differ by far, and over all of them. Moving
 * averages of answered calls.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Weight of one call in a mean: it follows some twenty calls. */
const WEIGHT = 0.05;
/** Kinds that are remembered; routes come and go with the configuration. Bounds memory. */
const MAX_KINDS = 1_000;

export class TargetDurations {
  private readonly byKind = new BoundedMap<number>(MAX_KINDS);
  private overallMs: number | undefined;

  /** Mean over all kinds in milliseconds; undefined before the first call. */
  get meanMs(): number | undefined {
    return this.overallMs;
  }

  /** Mean of one kind in milliseconds; undefined before its first call. */
  meanOf(kind: string): number | undefined {
    return this.byKind.get(kind);
  }

  /** A call of `kind` was answered after `heldMs` in the target. */
  onAnswered(kind: string, durationMs: number): void {
    this.overallMs = updatedMean(this.overallMs, durationMs);
    this.byKind.set(kind, updatedMean(this.byKind.get(kind), durationMs));
  }
}

function updatedMean(mean: number | undefined, sampleMs: number): number {
  return mean === undefined ? sampleMs : mean + WEIGHT * (sampleMs - mean);
}
