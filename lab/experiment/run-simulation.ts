/** Runs a scenario in virtual time: connects callers and faults to a simulated deployment and returns the records. */
import { readDeclarations } from '../../src/cli/resource-files.js';
import { CallerModel, type RequestRecord } from '../model/caller-model.js';
import type { ExecutionRecord } from '../model/backend-model.js';
import type { DemandModel } from '../model/deployment.js';
import type { LoadedDeployment } from '../model/load-deployment.js';
import { SimWorld } from '../simulator/sim-world.js';
import type { Fault, Scenario } from './scenario.js';

/** Records of a run: requests as seen by the callers, executions as seen by the back ends. */
export interface RunRecords {
  readonly requests: readonly RequestRecord[];
  /** Executions by node id. */
  readonly executions: ReadonlyMap<string, readonly ExecutionRecord[]>;
}

/** Returns the product of the load factors that apply to a demand at a time. */
export function rateFactorAt(scenario: Scenario, demand: DemandModel, atMs: number): number {
  let factor = 1;
  for (const phase of scenario.load) {
    const applies =
      atMs >= phase.fromMs &&
      atMs < phase.toMs &&
      (phase.groups?.includes(demand.group) ?? true) &&
      (phase.kinds?.includes(demand.kind) ?? true);
    if (applies) factor *= phase.factor;
  }
  return factor;
}

/** Runs a scenario. The same seed gives the same records. */
export function runSimulation(
  scenario: Scenario,
  loaded: LoadedDeployment,
  seed: number,
): RunRecords {
  const world = new SimWorld({
    deployment: loaded.deployment,
    resources: readDeclarations(loaded.declarations).map((declared) => declared.resource),
    seed,
    edges: scenario.edges,
    mechanisms: scenario.mechanisms,
    listDelayMs: scenario.listDelayMs,
  });
  const callers = new CallerModel(
    world.clock,
    world.random,
    scenario.callers,
    loaded.deployment.demand,
    (demand, now) => rateFactorAt(scenario, demand, now),
    world.createAttemptSender(),
  );
  for (const fault of scenario.faults) scheduleFault(world, fault);
  callers.start();
  world.clock.runUntil(scenario.durationMs);
  callers.stop();
  world.clock.runUntil(scenario.durationMs + scenario.callers.patienceMs);
  const executions = new Map(
    world.targets.map((target) => [target.placement.nodeId, target.backend.executions]),
  );
  return { requests: callers.records, executions };
}

function scheduleFault(world: SimWorld, fault: Fault): void {
  const { clock } = world;
  const during = (forMs: number, begin: () => void, end: () => void): void => {
    clock.schedule(fault.atMs, begin);
    clock.schedule(fault.atMs + forMs, end);
  };
  if (fault.type === 'slow-service') {
    const targets = world.targetsOf(fault.service);
    const setAll = (factor: number): void =>
      targets.forEach((target) => target.backend.setSlowFactor(factor));
    during(
      fault.forMs,
      () => setAll(fault.factor),
      () => setAll(1),
    );
    return;
  }
  const target = world.target(fault.target);
  const { machine } = target;
  switch (fault.type) {
    case 'kill':
      during(
        fault.forMs,
        () => killTarget(world, fault.target),
        () => restartTarget(world, fault.target),
      );
      return;
    case 'freeze':
      during(
        fault.forMs,
        () => machine.freeze(),
        () => machine.thaw(),
      );
      return;
    case 'cut':
      during(
        fault.forMs,
        () => (machine.cutDirection = fault.direction),
        () => (machine.cutDirection = undefined),
      );
      return;
    case 'slow-link':
      during(
        fault.forMs,
        () => (machine.extraLatencyMs = fault.extraMs),
        () => (machine.extraLatencyMs = 0),
      );
      return;
    case 'leave':
      clock.schedule(fault.atMs, () => {
        target.leave();
        world.scheduleEndpointUpdate();
      });
      return;
    case 'cold-start':
      clock.schedule(fault.atMs, () =>
        target.backend.beginColdStart({ factor: fault.factor, durationMs: fault.forMs }),
      );
  }
}

function killTarget(world: SimWorld, nodeId: string): void {
  const target = world.target(nodeId);
  world.kill(target.machine);
  target.backend.reset();
  world.scheduleEndpointUpdate();
}

function restartTarget(world: SimWorld, nodeId: string): void {
  world.target(nodeId).restart();
  world.scheduleEndpointUpdate();
}
