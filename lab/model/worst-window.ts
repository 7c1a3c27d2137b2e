/** Counts events in sliding windows. */

/** The window of a fixed length with the most events. */
export interface WorstWindow {
  readonly count: number;
  /** Time of the last event in the window, in milliseconds; 0 if there are no events. */
  readonly endsAt: number;
}

/**
 * Finds the window with the most events.
 * @param times times of the events in ascending order, in milliseconds
 */
export function worstWindow(times: readonly number[], windowMs: number): WorstWindow {
  let worst: WorstWindow = { count: 0, endsAt: 0 };
  let first = 0;
  for (const [index, at] of times.entries()) {
    while (times[first]! <= at - windowMs) first += 1;
    const count = index - first + 1;
    if (count > worst.count) worst = { count, endsAt: at };
  }
  return worst;
}
