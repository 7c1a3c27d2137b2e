/**
 * Runs a scenario in the simulator and evaluates its results and promises. `lab/fleet/fleet-experiment.ts` runs the
 * same scenarios with real processes and evaluates them with {@link evaluateRun}.
 */
import { readDeclarations } from '../../src/cli/resource-files.js';
import { PolicyTable } from '../../src/policy/policy-table.js';
import type { LoadedDeployment } from '../model/load-deployment.js';
import { capacityBound } from './capacity-bound.js';
import { findViolations, type PromiseId, type Violation } from './promises.js';
import { buildResult, type RunResult } from './result.js';
import { rateFactorAt, runSimulation, type RunRecords } from './run-simulation.js';
import { firstDisturbance, type Scenario } from './scenario.js';

/** Whether an experiment runs in the simulator or with real processes. */
export type ExperimentMode = 'simulate' | 'fleet';

/** Report of one run, as written by `--json`. */
export interface ExperimentReport {
  readonly mode: ExperimentMode;
  readonly result: RunResult;
  /** Upper bound on the goodput at the start of the first disturbance, in requests per second. */
  readonly boundDuring: number;
  readonly violations: readonly Violation[];
}

/** Evaluates the records of a finished run. */
export function evaluateRun(
  scenario: Scenario,
  loaded: LoadedDeployment,
  seed: number,
  mode: ExperimentMode,
  records: RunRecords,
  promises?: readonly PromiseId[],
): ExperimentReport {
  const resources = readDeclarations(loaded.declarations).map((declared) => declared.resource);
  const table = new PolicyTable(1, resources);
  const result = buildResult(scenario, seed, records);
  return {
    mode,
    result,
    boundDuring: boundDuring(scenario, loaded, table),
    violations: findViolations({ scenario, table, records, result }, promises),
  };
}

/** Runs a scenario in virtual time and evaluates it. */
export function simulateExperiment(
  scenario: Scenario,
  loaded: LoadedDeployment,
  seed: number,
  promises?: readonly PromiseId[],
): ExperimentReport {
  const records = runSimulation(scenario, loaded, seed);
  return evaluateRun(scenario, loaded, seed, 'simulate', records, promises);
}

/** Computes the goodput bound for the load and slowdown at the start of the first disturbance. */
function boundDuring(scenario: Scenario, loaded: LoadedDeployment, table: PolicyTable): number {
  const atMs = firstDisturbance(scenario);
  const slowness = (service: string): number =>
    scenario.faults.reduce(
      (factor, fault) =>
        fault.type === 'slow-service' && fault.service === service && fault.atMs === atMs
          ? factor * fault.factor
          : factor,
      1,
    );
  return capacityBound(
    loaded.deployment,
    table,
    (demand) => demand.rate * rateFactorAt(scenario, demand, atMs),
    slowness,
  );
}
