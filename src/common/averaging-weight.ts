/**
 * Weight of a new sample in an exponential moving average whose samples arrive irregularly.
 * @param elapsedMs time since the previous sample, in milliseconds
 * @param averagingMs time constant of the average, in milliseconds
 * @param minWeight weight of samples that arrive in quick succession
 */
export function averagingWeight(elapsedMs: number, averagingMs: number, minWeight: number): number {
  return Math.max(minWeight, 1 - Math.exp(-elapsedMs / averagingMs));
}
