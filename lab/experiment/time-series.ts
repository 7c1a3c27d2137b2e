/** Aggregates the requests of a run into time series for the plots of a report. */
import type { RequestRecord } from '../model/caller-model.js';

/** Rate of one measure for one kind of request within one time step. */
export interface SeriesPoint {
  /** Start of the step, in seconds. */
  readonly second: number;
  readonly measure: 'offered' | 'completed' | 'refused' | 'failed' | 'repeated attempts';
  readonly kind: string;
  readonly perSecond: number;
}

const STEP_MS = 500;

type Measure = SeriesPoint['measure'];

interface StepCount {
  readonly step: number;
  readonly measure: Measure;
  readonly kind: string;
  count: number;
}

/** Returns the points of a run in chronological order; steps without requests have none. */
export function timeSeries(requests: readonly RequestRecord[], durationMs: number): SeriesPoint[] {
  const counts = new Map<string, StepCount>();
  const add = (atMs: number, measure: Measure, kind: string, count: number): void => {
    if (count === 0 || atMs >= durationMs) return;
    const step = Math.floor(atMs / STEP_MS);
    const key = `${step} ${measure} ${kind}`;
    const known = counts.get(key);
    if (known === undefined) counts.set(key, { step, measure, kind, count });
    else known.count += count;
  };
  for (const request of requests) {
    add(request.startedAt, 'offered', request.kind, 1);
    add(request.endedAt, 'repeated attempts', request.kind, request.attempts - 1);
    if (request.result !== undefined && request.result !== 'hung-up') {
      add(request.endedAt, request.result, request.kind, 1);
    }
  }
  return [...counts.values()]
    .sort((first, second) => first.step - second.step)
    .map(({ step, measure, kind, count }) => ({
      second: (step * STEP_MS) / 1_000,
      measure,
      kind,
      perSecond: (count * 1_000) / STEP_MS,
    }));
}
