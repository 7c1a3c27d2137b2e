/**
 * Runs a scenario on real processes: connects callers and faults to a fleet. Evaluates the same metrics and promises
 * as for simulated runs.
 */
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { isDeepStrictEqual } from 'node:util';
import { ValidationError } from '../../src/common/errors.js';
import { SeededRandom } from '../../src/common/random.js';
import { evaluateRun, type ExperimentReport } from '../experiment/run-experiment.js';
import { rateFactorAt } from '../experiment/run-simulation.js';
import type { Fault, Scenario } from '../experiment/scenario.js';
import { CallerModel, type RequestRecord } from '../model/caller-model.js';
import type { LoadedDeployment } from '../model/load-deployment.js';
import { createHttpSender } from '../process/http-attempt-sender.js';
import { mechanismsSchema } from '../simulator/mechanisms.js';
import { Fleet } from './fleet.js';
import { RunClock } from './run-clock.js';

/** Faults of links, which need the simulator: processes are connected by plain loopback. */
const SIMULATED_ONLY: readonly Fault['type'][] = ['cut', 'slow-link'];

/** Receives the progress of a run. */
export interface FleetRunListener {
  /** All processes are ready; their settings and logs are in `workDir`. */
  onReady(fleet: Fleet, workDir: string): void;
  /** Called every second. @param now milliseconds since the start of the run */
  onSecond(requests: readonly RequestRecord[], now: number): void;
}

const SECOND_MS = 1_000;

/** Runs a scenario. @throws ValidationError when it uses features that only the simulator supports */
export async function runFleetExperiment(
  scenario: Scenario,
  loaded: LoadedDeployment,
  seed: number,
  listener?: FleetRunListener,
): Promise<ExperimentReport> {
  checkRunnableAsFleet(scenario);
  const workDir = mkdtempSync(join(tmpdir(), 'shoredoor-fleet-'));
  const fleet = await Fleet.start({
    deployment: loaded.deployment,
    deploymentFile: loaded.file,
    declarations: loaded.declarations,
    workDir,
    edges: scenario.edges,
    seed,
  });
  let seconds: NodeJS.Timeout | undefined;
  try {
    listener?.onReady(fleet, workDir);
    const clock = new RunClock();
    const callers = new CallerModel(
      clock,
      new SeededRandom(seed),
      scenario.callers,
      loaded.deployment.demand,
      (demand, now) => rateFactorAt(scenario, demand, now),
      createHttpSender(fleet.edgeOrigins()),
    );
    for (const fault of scenario.faults) scheduleFault(fleet, clock, fault);
    callers.start();
    seconds = setInterval(() => listener?.onSecond(callers.records, clock.now()), SECOND_MS);
    await wait(clock, scenario.durationMs);
    callers.stop();
    await wait(clock, scenario.callers.patienceMs);
    const executions = fleet.executions(clock.startedAtEpochMs);
    const records = { requests: callers.records, executions };
    return evaluateRun(scenario, loaded, seed, 'fleet', records);
  } finally {
    clearInterval(seconds);
    await fleet.kill();
  }
}

function checkRunnableAsFleet({ faults: planned, mechanisms }: Scenario): void {
  const faults = planned.flatMap(({ type }, index) =>
    SIMULATED_ONLY.includes(type)
      ? [{ path: `faults[${index}].type`, message: `'${type}' is supported in mode simulate only` }]
      : [],
  );
  if (!isDeepStrictEqual(mechanisms, mechanismsSchema.parse({}))) {
    faults.push({ path: 'mechanisms', message: 'switches are supported in mode simulate only' });
  }
  if (faults.length === 0) return;
  throw new ValidationError('the scenario cannot run as a fleet', { props: { faults } });
}

function wait(clock: RunClock, delayMs: number): Promise<void> {
  return new Promise((resolve) => clock.schedule(delayMs, resolve));
}

function scheduleFault(fleet: Fleet, clock: RunClock, fault: Fault): void {
  const at = (atMs: number, work: () => Promise<void> | void): void => {
    clock.schedule(atMs, () => {
      Promise.resolve(work()).catch((error: unknown) => {
        process.stderr.write(`fault ${fault.type} failed: ${String(error)}\n`);
      });
    });
  };
  switch (fault.type) {
    case 'slow-service':
      at(fault.atMs, () => fleet.setSlow(fault.service, fault.factor));
      at(fault.atMs + fault.forMs, () => fleet.setSlow(fault.service, 1));
      return;
    case 'kill':
      at(fault.atMs, () => fleet.killTarget(fault.target));
      at(fault.atMs + fault.forMs, () => fleet.restartTarget(fault.target));
      return;
    case 'freeze':
      at(fault.atMs, () => fleet.signalTarget(fault.target, 'SIGSTOP'));
      at(fault.atMs + fault.forMs, () => fleet.signalTarget(fault.target, 'SIGCONT'));
      return;
    case 'leave':
      at(fault.atMs, () => fleet.target(fault.target).node.signal('SIGTERM'));
      return;
    case 'cold-start':
      at(fault.atMs, () => fleet.startCold(fault.target, fault.factor, fault.forMs));
      return;
    case 'cut':
    case 'slow-link':
    // Rejected by checkRunnableAsFleet.
  }
}
