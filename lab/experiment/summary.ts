/** Formats the results of runs as text for the console. */
import { formatTable } from '../../src/cli/output.js';
import type { RunResult } from './result.js';
import type { ExperimentReport } from './run-experiment.js';

/** Formats the results of one run: a table for each phase, then recovery and executions. */
export function describeRun(result: RunResult): string {
  const lines: string[] = [];
  for (const phase of result.phases) {
    const seconds = (phase.toMs - phase.fromMs) / 1_000;
    lines.push(`${phase.name} (${seconds} s): ${phase.goodput.toFixed(1)} whole requests a second`);
    lines.push(
      formatTable({
        columns: ['  KIND', 'GROUP', 'OFFERED/S', 'WHOLE/S', 'REFUSED', 'FAILED', 'P50', 'P99'],
        rows: [...phase.lanes]
          .sort((a, b) => (`${a.kind}/${a.group}` < `${b.kind}/${b.group}` ? -1 : 1))
          .map((lane) => [
            `  ${lane.kind}`,
            lane.group,
            (lane.offered / seconds).toFixed(1),
            (lane.completed / seconds).toFixed(1),
            String(lane.refused),
            String(lane.failed),
            lane.latencyMs.p50.toFixed(0),
            lane.latencyMs.p99.toFixed(0),
          ]),
      }),
    );
  }
  const recovery = result.recoveryMs === null ? 'not within the run' : `${result.recoveryMs} ms`;
  lines.push(`recovery: ${recovery}`);
  lines.push(
    `executions of one call: at most ${result.maxExecutions}, ${result.executionsPerCall.toFixed(3)} on average`,
  );
  return lines.join('\n');
}

/** Returns the median (the upper one of an even count), or NaN for an empty list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

/** Summarizes several runs of one scenario by medians and extremes. */
export function describeRuns(reports: readonly ExperimentReport[]): string {
  const ratios = reports.map(({ result, boundDuring }) => result.phases[1]!.goodput / boundDuring);
  const recoveries = reports.map(({ result }) => result.recoveryMs ?? Infinity);
  const broken = reports.filter((report) => report.violations.length > 0);
  const percent = (value: number): string => `${(100 * value).toFixed(1)}%`;
  return [
    `${reports.length} seeds of ${reports[0]!.result.scenario}:`,
    `  goodput during the disturbance, of the bound: median ${percent(median(ratios))}, least ${percent(Math.min(...ratios))}`,
    `  recovery: median ${median(recoveries)} ms, longest ${Math.max(...recoveries)} ms`,
    `  seeds with broken promises: ${broken.map(({ result }) => result.seed).join(', ') || 'none'}`,
  ].join('\n');
}
