/**
 * Returns the largest number of events in any window of a fixed length.
 * @param times times of the events in ascending order, in milliseconds
 */
export function mostInWindow(times: readonly number[], windowMs: number): number {
  let most = 0;
  let first = 0;
  for (const [index, at] of times.entries()) {
    while (times[first]! <= at - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}
