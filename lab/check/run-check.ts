/**
 * Runs random fault schedules for a range of seeds and checks the promises. For each failing seed it prints the
 * command that replays it; a failing call scenario is also reduced to a smaller schedule that still fails.
 */
import { stringify } from 'yaml';
import { PROMISE_IDS, type PromiseId, type Violation } from '../experiment/promises.js';
import { simulateExperiment } from '../experiment/run-experiment.js';
import type { Scenario } from '../experiment/scenario.js';
import { loadDeployment } from '../model/load-deployment.js';
import {
  ALL_REPLICATION_MECHANISMS,
  ReplicationWorld,
} from '../simulator/replication/replication-world.js';
import type { Mechanisms } from '../simulator/mechanisms.js';
import { randomScenario } from './random-scenario.js';
import { shrinkScenario } from './shrink.js';

/** Checked with the simulator of configuration replication, not with simulated calls. */
const CONFIGURATION_PROMISE = 'config-forward';
/** All promises that the `check` command accepts. */
export const CHECKED_PROMISES: readonly string[] = [...PROMISE_IDS, CONFIGURATION_PROMISE];

const REPLICATION_FAULT_MS = 8_000;
const VIOLATIONS_SHOWN = 5;

export interface CheckOptions {
  readonly firstSeed: number;
  readonly seeds: number;
  /** The only promise to check; all promises when undefined. */
  readonly promise: string | undefined;
  /** Overrides of mechanisms that only the lab can switch off. */
  readonly mechanisms: Partial<Mechanisms>;
  readonly print: (line: string) => void;
}

/** Numbers of seeds that passed and failed. */
export interface CheckResult {
  readonly passed: number;
  readonly failed: number;
}

/** Checks each seed, prints the failures and a total. */
export function runCheck(options: CheckOptions): CheckResult {
  let failed = 0;
  for (let seed = options.firstSeed; seed < options.firstSeed + options.seeds; seed += 1) {
    if (!checkSeed(seed, options)) failed += 1;
  }
  const passed = options.seeds - failed;
  options.print(`${passed} passed, ${failed} failed`);
  return { passed, failed };
}

function checkSeed(seed: number, options: CheckOptions): boolean {
  const { promise } = options;
  const callsPassed = promise === CONFIGURATION_PROMISE || checkCalls(seed, options);
  const checksConfiguration = promise === undefined || promise === CONFIGURATION_PROMISE;
  const configurationPassed = !checksConfiguration || checkConfiguration(seed, options);
  return callsPassed && configurationPassed;
}

function checkCalls(seed: number, { promise, mechanisms, print }: CheckOptions): boolean {
  const promises = promise === undefined ? PROMISE_IDS : [promise as PromiseId];
  const random = randomScenario(seed);
  const scenario = { ...random, mechanisms: { ...random.mechanisms, ...mechanisms } };
  const violations = violationsOf(scenario, seed, promises);
  if (violations.length === 0) return true;
  printFailure(seed, promise, violations.map(describe), print);
  const violatedPromises = new Set(violations.map((violation) => violation.promise));
  const shrunk = shrinkScenario(scenario, (candidate) =>
    violationsOf(candidate, seed, promises).some((violation) =>
      violatedPromises.has(violation.promise),
    ),
  );
  print('  smallest schedule that still fails:');
  for (const line of stringify(scheduleOf(shrunk)).trimEnd().split('\n')) print(`    ${line}`);
  return false;
}

function scheduleOf({ deployment, listDelayMs, load, faults }: Scenario): Partial<Scenario> {
  return { deployment, listDelayMs, load, faults };
}

function checkConfiguration(seed: number, { promise, print }: CheckOptions): boolean {
  const mechanisms = ALL_REPLICATION_MECHANISMS;
  const world = new ReplicationWorld({ seed, faultMs: REPLICATION_FAULT_MS, mechanisms });
  const { violations, faults } = world.execute();
  if (violations.length === 0) return true;
  printFailure(
    seed,
    promise,
    violations.map((text) => `${CONFIGURATION_PROMISE}: ${text}`),
    print,
  );
  for (const fault of faults) print(`    ${fault}`);
  return false;
}

function violationsOf(
  scenario: Scenario,
  seed: number,
  promises: readonly PromiseId[],
): readonly Violation[] {
  return simulateExperiment(scenario, loadDeployment(scenario.deployment), seed, promises)
    .violations;
}

function describe({ promise, requestId, detail }: Violation): string {
  return `${promise}: ${requestId === '' ? '' : `${requestId} `}${detail}`;
}

function printFailure(
  seed: number,
  promise: string | undefined,
  lines: readonly string[],
  print: (line: string) => void,
): void {
  const filter = promise === undefined ? '' : ` --promise ${promise}`;
  print(`seed ${seed} failed; replay: npm run check -- --seeds 1 --first-seed ${seed}${filter}`);
  for (const line of lines.slice(0, VIOLATIONS_SHOWN)) print(`  ${line}`);
  if (lines.length > VIOLATIONS_SHOWN) print(`  and ${lines.length - VIOLATIONS_SHOWN} more`);
}
