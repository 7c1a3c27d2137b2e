/**
 * Computes the results of a run (goodput, latency, recovery time, executions) from its records. Used for simulated
 * runs and for runs of real processes.
 */
import type { RequestRecord } from '../model/caller-model.js';
import { firstDisturbance, lastDisturbanceEnd, type Scenario } from './scenario.js';
import { timeSeries, type SeriesPoint } from './time-series.js';
import type { RunRecords } from './run-simulation.js';

/** Results of one kind in one group. */
export interface LaneResult {
  readonly group: string;
  readonly kind: string;
  readonly offered: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly hungUp: number;
  /** Time from the first attempt to the complete response; 0 when no request was completed. */
  readonly latencyMs: Quantiles;
}

/** Quantiles of durations, in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
}

/** Results of the time before, during or after the disturbances. */
export interface PhaseResult {
  readonly name: 'before' | 'during' | 'after';
  readonly fromMs: number;
  readonly toMs: number;
  /** Requests completed in the phase, per second. */
  readonly goodput: number;
  readonly lanes: readonly LaneResult[];
}

/** The results of one run. */
export interface RunResult {
  readonly scenario: string;
  readonly seed: number;
  readonly phases: readonly PhaseResult[];
  /** Time from the end of the last disturbance until goodput has recovered; null if it does not within the run. */
  readonly recoveryMs: number | null;
  /** Maximum number of executions of one logical call. */
  readonly maxExecutions: number;
  /** Mean number of executions of a logical call that was executed at all. */
  readonly executionsPerCall: number;
  readonly series: readonly SeriesPoint[];
}

const RECOVERED_FRACTION = 0.95;
const RECOVERY_WINDOW_MS = 500;
const RECOVERY_STEP_MS = 100;

function quantiles(values: number[]): Quantiles {
  if (values.length === 0) return { p50: 0, p90: 0, p99: 0 };
  const sorted = [...values].sort((a, b) => a - b);
  const at = (fraction: number): number =>
    sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))]!;
  return { p50: at(0.5), p90: at(0.9), p99: at(0.99) };
}

/** Requests completed in a time span, per second. */
function goodput(requests: readonly RequestRecord[], fromMs: number, toMs: number): number {
  if (toMs <= fromMs) return 0;
  const completed = requests.filter(
    (request) =>
      request.result === 'completed' && request.endedAt >= fromMs && request.endedAt < toMs,
  );
  return (completed.length * 1_000) / (toMs - fromMs);
}

function laneResults(requests: readonly RequestRecord[]): LaneResult[] {
  const byLane = new Map<string, RequestRecord[]>();
  for (const request of requests) {
    const key = `${request.kind}/${request.group}`;
    const list = byLane.get(key);
    if (list === undefined) byLane.set(key, [request]);
    else list.push(request);
  }
  return [...byLane.values()].map((lane) => {
    const count = (result: RequestRecord['result']): number =>
      lane.filter((request) => request.result === result).length;
    const completed = lane.filter((request) => request.result === 'completed');
    return {
      group: lane[0]!.group,
      kind: lane[0]!.kind,
      offered: lane.length,
      completed: completed.length,
      refused: count('refused'),
      failed: count('failed'),
      hungUp: count('hung-up'),
      latencyMs: quantiles(completed.map((request) => request.endedAt - request.startedAt)),
    };
  });
}

function phaseResult(
  name: PhaseResult['name'],
  requests: readonly RequestRecord[],
  fromMs: number,
  toMs: number,
): PhaseResult {
  const offered = requests.filter(
    (request) => request.startedAt >= fromMs && request.startedAt < toMs,
  );
  return {
    name,
    fromMs,
    toMs,
    goodput: goodput(requests, fromMs, toMs),
    lanes: laneResults(offered),
  };
}

/** Returns the time after `endMs` until goodput has recovered; null if it does not before `durationMs`. */
function recoveryTime(
  requests: readonly RequestRecord[],
  goodputBefore: number,
  endMs: number,
  durationMs: number,
): number | null {
  for (let from = endMs; from + RECOVERY_WINDOW_MS <= durationMs; from += RECOVERY_STEP_MS) {
    const now = goodput(requests, from, from + RECOVERY_WINDOW_MS);
    if (now >= RECOVERED_FRACTION * goodputBefore) return from - endMs;
  }
  return null;
}

/** Computes the results of a run. */
export function buildResult(scenario: Scenario, seed: number, records: RunRecords): RunResult {
  const { requests } = records;
  const begin = firstDisturbance(scenario);
  const end = Math.max(begin, lastDisturbanceEnd(scenario));
  const before = phaseResult('before', requests, scenario.warmupMs, begin);
  const executions = countExecutions(records);
  return {
    scenario: scenario.name,
    seed,
    phases: [
      before,
      phaseResult('during', requests, begin, end),
      phaseResult('after', requests, end, scenario.durationMs),
    ],
    recoveryMs: recoveryTime(requests, before.goodput, end, scenario.durationMs),
    maxExecutions: Math.max(0, ...executions.values()),
    executionsPerCall: meanOf([...executions.values()]),
    series: timeSeries(requests, scenario.durationMs),
  };
}

/** Counts executions by logical call. Attempts of a call count together, each nested call separately. */
export function countExecutions(records: RunRecords): Map<string, number> {
  const counts = new Map<string, number>();
  for (const executions of records.executions.values()) {
    for (const { labId } of executions) counts.set(labId, (counts.get(labId) ?? 0) + 1);
  }
  return counts;
}

function meanOf(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
