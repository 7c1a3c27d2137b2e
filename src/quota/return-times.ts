/** Spreads the times at which refused requests of a group are told to return, so that they don't return together. */
import { IMPORTANCE_COUNT, type Importance } from '../policy/importance.js';

/** When the next refused request of a kind may return. */
export interface ReturnWindow {
  /** Shortest delay, in milliseconds. */
  readonly earliestMs: number;
  /** Interval between two returns of this kind, in milliseconds. */
  readonly spacingMs: number;
}

export class ReturnTimes {
  /** Latest return time that was told, by importance, in monotonic milliseconds. */
  private readonly latest = new Array<number>(IMPORTANCE_COUNT).fill(-Infinity);

  /** Returns the delay for the next refused request of this importance, at most twice the shortest one. */
  next(importance: Importance, { earliestMs, spacingMs }: ReturnWindow, now: number): number {
    const earliest = now + earliestMs;
    const spaced = Math.max(earliest, this.latest[importance]! + spacingMs);
    const returnAt = spaced > earliest + Math.max(earliestMs, spacingMs) ? earliest : spaced;
    this.latest[importance] = returnAt;
    return returnAt - now;
  }
}
