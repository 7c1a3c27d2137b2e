/** Remembers when a value last exceeded each of a few levels. */
export class LevelHistory {
  /** Monotonic milliseconds, by index of the level. */
  private readonly exceededAt: number[];

  /** @param levels ascending; the last one counts as never exceeded */
  constructor(private readonly levels: readonly number[]) {
    this.exceededAt = levels.map(() => -Infinity);
  }

  record(value: number, now: number): void {
    this.levels.forEach((level, index) => {
      if (value > level) this.exceededAt[index] = now;
    });
  }

  /** The lowest level that was not exceeded within the last `periodMs`. */
  lowestKept(periodMs: number, now: number): number {
    const index = this.exceededAt.findIndex((at) => now - at >= periodMs);
    return this.levels[index] ?? this.levels.at(-1)!;
  }
}
