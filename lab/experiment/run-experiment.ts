/**
 * One experiment: a run, its figures, and the promises that it broke. Simulated here; `lab/fleet/fleet-experiment.ts`
 * runs the same scenarios on processes and has them judged here.
 */
import { readDeclarations } from '../../src/cli/resource-files.js';
import { PolicyTable } from '../../src/policy/policy-table.js';
import type { LoadedDeployment } from '../model/load-deployment.js';
import { capacityBound } from './capacity-bound.js';
import { findViolations, type PromiseId, type Violation } from './promises.js';
import { buildResult, type RunResult } from './result.js';
import { rateFactorAt, runSimulation, type RunRecords } from './run-simulation.js';
import { firstDisturbance, type Scenario } from './scenario.js';

/** Where an experiment runs. */
export type ExperimentMode = 'simulate' | 'fleet';

/** What an experiment writes. */
export interface ExperimentReport {
  readonly mode: ExperimentMode;
  readonly result: RunResult;
  /** Most whole requests a second that could be finished during the disturbance. */
  readonly boundDuring: number;
  readonly violations: readonly Violation[];
}

/** Figures and violations of a run that has been made. */
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

/** The bound at the moment when the first disturbance has begun. */
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
