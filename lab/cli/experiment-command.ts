/** The command `shoredoor-lab experiment`: runs a scenario file, prints the results and writes reports. */
import { writeFileSync } from 'node:fs';
import type { CAC } from 'cac';
import { UsageError } from '../../src/common/errors.js';
import type { ExperimentReport } from '../experiment/run-experiment.js';
import { mechanismsFrom, wholeNumber } from './options.js';

interface ExperimentCommandOptions {
  readonly seed: unknown;
  readonly seeds: unknown;
  readonly mode: string;
  readonly json?: string;
  readonly html?: string;
  readonly switch?: string | string[];
}

const VIOLATIONS_SHOWN = 10;

export function registerExperimentCommand(cli: CAC): void {
  cli
    .command('experiment <file>', 'Run a scenario file')
    .option('--seed <number>', 'Seed of the run, or of the first run', { default: 1 })
    .option('--seeds <number>', 'How many runs, with seeds one after another', { default: 1 })
    .option('--mode <mode>', 'simulate (virtual time) or fleet (real processes)', {
      default: 'simulate',
    })
    .option('--json <file>', 'Write the reports as JSON')
    .option('--html <file>', 'Write the last run as a page with plots over time')
    .option('--switch <mechanism=value>', 'Lab only: run with a mechanism off, as throttle=false')
    .example('npm run experiment -- lab/scenarios/surge-slow-ledger.yaml --seed 7')
    .action(experiment);
}

async function experiment(file: string, options: ExperimentCommandOptions): Promise<void> {
  if (options.mode !== 'simulate' && options.mode !== 'fleet') {
    throw new UsageError(`--mode must be simulate or fleet, not '${options.mode}'`);
  }
  const { loadScenario } = await import('../experiment/scenario.js');
  const { loadDeployment } = await import('../model/load-deployment.js');
  const declared = loadScenario(file);
  const mechanisms = { ...declared.mechanisms, ...mechanismsFrom(options.switch) };
  const scenario = { ...declared, mechanisms };
  const loaded = loadDeployment(scenario.deployment);
  const firstSeed = wholeNumber('--seed', options.seed, 0);
  const seeds = wholeNumber('--seeds', options.seeds, 1);
  const reports: ExperimentReport[] = [];
  for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
    const report = await run(options.mode, scenario, loaded, seed);
    reports.push(report);
    await print(report);
  }
  if (seeds > 1) {
    const { describeRuns } = await import('../experiment/summary.js');
    process.stdout.write(`${describeRuns(reports)}\n`);
  }
  if (options.json !== undefined) {
    writeFileSync(options.json, `${JSON.stringify(seeds === 1 ? reports[0] : reports, null, 2)}\n`);
  }
  if (options.html !== undefined) {
    const { renderReport } = await import('../report/render-report.js');
    writeFileSync(options.html, await renderReport(reports.at(-1)!));
  }
  if (reports.some((report) => report.violations.length > 0)) process.exitCode = 1;
}

async function run(
  mode: 'simulate' | 'fleet',
  ...[scenario, loaded, seed]: Parameters<
    typeof import('../experiment/run-experiment.js').simulateExperiment
  >
): Promise<ExperimentReport> {
  if (mode === 'simulate') {
    const { simulateExperiment } = await import('../experiment/run-experiment.js');
    return simulateExperiment(scenario, loaded, seed);
  }
  const { runFleetExperiment } = await import('../fleet/fleet-experiment.js');
  return runFleetExperiment(scenario, loaded, seed);
}

async function print(report: ExperimentReport): Promise<void> {
  const { describeRun } = await import('../experiment/summary.js');
  process.stdout.write(`seed ${report.result.seed}, ${report.mode}\n`);
  process.stdout.write(`${describeRun(report.result)}\n`);
  process.stdout.write(`bound during the disturbance: ${report.boundDuring.toFixed(1)}/s\n`);
  for (const { promise, requestId, detail } of report.violations.slice(0, VIOLATIONS_SHOWN)) {
    process.stdout.write(`BROKEN ${promise}: ${requestId} ${detail}\n`);
  }
  const hidden = report.violations.length - VIOLATIONS_SHOWN;
  if (hidden > 0) process.stdout.write(`and ${hidden} more\n`);
}
