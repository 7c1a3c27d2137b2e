/**
 * Turns the records of a run into the figures that reports and checks use. Pure, and the same for simulated runs and
 * real processes.
 */
import type { RequestRecord } from '../model/caller-model.js';
import { firstDisturbance, lastDisturbanceEnd, type Scenario } from './scenario.js';
import { timeSeries, type SeriesPoint } from './time-series.js';
import type { RunRecords } from './run-simulation.js';

/** Figures of one group and kind. */
export interface LaneResult {
  readonly group: string;
  readonly kind: string;
  readonly offered: number;
  readonly completed: number;
  readonly refused: number;
  readonly failed: number;
  readonly hungUp: number;
  /** Milliseconds from the first attempt to the whole answer; 0 where nothing was completed. */
  readonly latencyMs: Quantiles;
}

/** Quantiles of a set of times, in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
}

/** A time span with its figures. */
export interface PhaseResult {
  readonly name: 'before' | 'during' | 'after';
  readonly fromMs: number;
  readonly toMs: number;
  /** Whole requests a second, by the time of their completion. */
  readonly goodput: number;
  readonly lanes: readonly LaneResult[];
}

/** The figures of one run. */
export interface RunResult {
  readonly scenario: string;
  readonly seed: number;
  readonly phases: readonly PhaseResult[];
  /** Milliseconds after the last disturbance until goodput is back; null when it never is. */
  readonly recoveryMs: number | null;
  /** Most executions of one logical call at back ends. */
  readonly maxExecutions: number;
  /** Executions for each first attempt at back ends. */
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

/** Whole requests a second completed in a time span. */
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

function phase(
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

/** Time after `endMs` until a window of goodput reaches most of what it was before. */
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

/** The figures of a run. */
export function buildResult(scenario: Scenario, seed: number, records: RunRecords): RunResult {
  const { requests } = records;
  const begin = firstDisturbance(scenario);
  const end = Math.max(begin, lastDisturbanceEnd(scenario));
  const before = phase('before', requests, scenario.warmupMs, begin);
  const executions = countExecutions(records);
  return {
    scenario: scenario.name,
    seed,
    phases: [
      before,
      phase('during', requests, begin, end),
      phase('after', requests, end, scenario.durationMs),
    ],
    recoveryMs: recoveryTime(requests, before.goodput, end, scenario.durationMs),
    maxExecutions: Math.max(0, ...executions.values()),
    executionsPerCall: meanOf([...executions.values()]),
    series: timeSeries(requests, scenario.durationMs),
  };
}

/** Executions by logical call: an attempt at a back end, nested calls counted on their own. */
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
