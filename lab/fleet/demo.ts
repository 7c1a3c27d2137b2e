/**
 * The demo: runs the Ratenwerk deployment as real processes through a surge of demand while its ledger service is slow,
 * and prints the progress.
 */
import { describeRun } from '../experiment/summary.js';
import { scenarioSchema } from '../experiment/scenario.js';
import type { RequestRecord } from '../model/caller-model.js';
import { loadDeployment } from '../model/load-deployment.js';
import { runFleetExperiment } from './fleet-experiment.js';

const DEPLOYMENT = 'ratenwerk';
const SEED = 1;
const SURGE_FROM_MS = 6_000;
const SURGE_MS = 10_000;
const SURGE_FACTOR = 3;
const SLOW_SERVICE = 'buchwerk';
const SLOW_FACTOR = 5;
const PROGRESS_MS = 1_000;

const SCENARIO = scenarioSchema.parse({
  name: 'demo',
  deployment: DEPLOYMENT,
  durationMs: SURGE_FROM_MS + SURGE_MS + 6_000,
  load: [{ fromMs: SURGE_FROM_MS, toMs: SURGE_FROM_MS + SURGE_MS, factor: SURGE_FACTOR }],
  faults: [
    {
      type: 'slow-service',
      service: SLOW_SERVICE,
      factor: SLOW_FACTOR,
      atMs: SURGE_FROM_MS,
      forMs: SURGE_MS,
    },
  ],
});

/** Runs the demo. @returns the exit code */
export async function runDemo(): Promise<number> {
  print('Starting Ratenwerk as processes.');
  const report = await runFleetExperiment(SCENARIO, loadDeployment(DEPLOYMENT), SEED, {
    onReady: ({ targets }, workDir) => {
      print(`${targets.length} targets with their nodes and ${SCENARIO.edges} edges are ready.`);
      print(`Settings and logs are in ${workDir}.`);
      print(
        `From ${SURGE_FROM_MS / 1_000} s on, for ${SURGE_MS / 1_000} s: ` +
          `${SURGE_FACTOR}x demand, ${SLOW_SERVICE} ${SLOW_FACTOR}x slower.`,
      );
    },
    onSecond: printProgress,
  });
  print(describeRun(report.result));
  const wrong = report.violations.filter(({ promise }) => promise === 'own-whole-answer').length;
  print(`Answers that were foreign or not whole: ${wrong}`);
  return wrong === 0 ? 0 : 1;
}

function printProgress(requests: readonly RequestRecord[], now: number): void {
  const recent = requests.filter(
    ({ result, endedAt }) => result !== undefined && endedAt > now - PROGRESS_MS,
  );
  const whole = recent.filter(({ result }) => result === 'completed').length;
  const second = Math.round(now / 1_000);
  print(`  second ${second}: ${whole} whole answers, ${recent.length - whole} without`);
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
