/**
 * Runs one soak test: real processes on loopback under injected faults. Connects the fleet, targets, clients, operator
 * and faults of a plan; their observations go into a {@link SoakRecord}, which checks them.
 */
import { existsSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { UsageError } from '../../src/common/errors.js';
import { SeededRandom } from '../../src/common/random.js';
import { DeadlyClient } from './deadly-client.js';
import { SoakClients } from './soak-clients.js';
import { UploadClients } from './upload-clients.js';
import { SoakFaults } from './soak-faults.js';
import { SoakFleet, type SoakMachine } from './soak-fleet.js';
import { isVersionInForce, nestedPath, SOAK_HOST, SoakOperator } from './soak-operator.js';
import type { PlannedFault, SoakPlan } from './soak-plan.js';
import { Check, SoakRecord, type Violation } from './soak-record.js';
import { RETRY_BUDGET } from './soak-settings.js';
import { SoakTarget, type TargetContext } from './soak-target.js';
import { TargetReports } from './target-reports.js';

export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Number of evaluations of each check. */
  readonly checkCounts: ReadonlyMap<Check, number>;
  /** Fraction of client requests that succeeded, 0 to 1. */
  readonly successRatio: number;
  /** Folder with the logs and the plan of the run. */
  readonly workDir: string;
}

const PLAN_FILE = 'plan.json';
/** Time for membership and routes to propagate before the plan starts, in milliseconds. */
const WARMUP_MS = 4_000;
/** Minimum wait for requests in flight at the end, in milliseconds. */
const SETTLE_MS = 3_000;
/** Time within which an accepted change must be in force on every machine without a fault, in milliseconds. */
const IN_FORCE_MS = 2_000;
/** Machines with a fault within this time are not checked, in milliseconds. */
const FAULT_FREE_MS = 4_000;
const MIN_SUCCESS_RATIO = 0.5;
const MIN_SUCCESS_RATIO_AT_END = 0.9;
/** Time allowed for recovery at the start of the fault-free period, in milliseconds. */
const RECOVERY_MS = 4_000;

/** Runs a plan. @throws when a process does not start, or the folder holds the files of an earlier run */
export async function runSoak(plan: SoakPlan, workDir: string): Promise<SoakResult> {
  prepareFolder(plan, workDir);
  const fleet = await SoakFleet.start(plan, workDir);
  const run = new SoakRun(plan, fleet);
  try {
    const violations = await run.execute();
    const chances = new Map(
      Object.values(Check).map((each) => [each, run.record.checkCountOf(each)]),
    );
    if (violations.length === 0) rmSync(workDir, { recursive: true });
    return { violations, checkCounts: chances, successRatio: run.record.successRatio, workDir };
  } finally {
    await run.end();
    await fleet.end();
  }
}

/** Creates the folder of a run and writes its plan there. @throws UsageError when it holds an earlier run */
export function prepareFolder(plan: SoakPlan, workDir: string): void {
  if (existsSync(join(workDir, PLAN_FILE))) {
    // Control replicas would load the state of that run, whose addresses are no longer valid.
    throw new UsageError(`${workDir} holds an earlier run; remove it, or name another folder`);
  }
  mkdirSync(workDir, { recursive: true });
  writeFileSync(join(workDir, PLAN_FILE), JSON.stringify(plan, undefined, 2));
}

class SoakRun {
  readonly record = new SoakRecord();
  private readonly startedAt = performance.now();
  private readonly targets: SoakTarget[] = [];
  private readonly clients: SoakClients[] = [];
  private readonly uploadClients: UploadClients[] = [];
  private readonly operator: SoakOperator;
  private readonly faults: SoakFaults;
  /** Times at which the last fault of each machine ended, by machine index; Infinity while one is in progress. */
  private readonly lastFaultAt = new Map<number, number>();
  private reports: TargetReports | undefined;
  private isOver = false;
  /** Start of the fault-free period, in milliseconds. */
  private faultFreeFrom = Infinity;

  constructor(
    private readonly plan: SoakPlan,
    private readonly fleet: SoakFleet,
  ) {
    const { targets, record } = this;
    this.operator = new SoakOperator(plan, fleet.replicas, () => this.isOver);
    const now = (): number => this.now();
    const deadly = new DeadlyClient({
      random: new SeededRandom(plan.seed + 3),
      machines: fleet.machines,
      deadlineMs: plan.clientDeadlineMs,
      now,
    });
    this.faults = new SoakFaults({ fleet, targets, record, deadly, now });
  }

  async execute(): Promise<Violation[]> {
    const { plan, record } = this;
    await this.startTargets();
    await this.operator.declareNext();
    this.startClients();
    await this.waitUntil(WARMUP_MS);
    const from = this.now();
    this.faultFreeFrom = from + plan.durationMs - plan.calmMs;
    const pending = [
      ...plan.faults.map((fault) => this.injectAt(fault, from)),
      this.changeConfiguration(from),
    ];
    await this.waitUntil(from + plan.durationMs);
    this.isOver = true;
    await Promise.all(pending);
    await this.waitUntil(this.now() + Math.max(SETTLE_MS, plan.clientDeadlineMs));
    for (const { id, ownExits } of this.fleet.processes) record.onProcessEnd(id, ownExits);
    return record.violations({
      retries: RETRY_BUDGET,
      minSuccessRatio: MIN_SUCCESS_RATIO,
      minSuccessRatioAtEnd: MIN_SUCCESS_RATIO_AT_END,
      recoveredAt: this.faultFreeFrom + RECOVERY_MS,
    });
  }

  async end(): Promise<void> {
    this.isOver = true;
    this.reports?.end();
    await Promise.all(this.clients.map((each) => each.end()));
    for (const each of this.uploadClients) each.end();
    for (const target of this.targets) target.stop();
  }

  private now(): number {
    return performance.now() - this.startedAt;
  }

  private async waitUntil(atMs: number): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, atMs - this.now())));
  }

  private async startTargets(): Promise<void> {
    const context: TargetContext = {
      random: new SeededRandom(this.plan.seed + 1),
      record: this.record,
      now: () => this.now(),
      repeatedIds: new Set(),
      seenIds: new Set(),
      host: SOAK_HOST,
      nestedDeadlineMs: this.plan.nestedDeadlineMs,
    };
    const { services } = this.plan;
    for (const { index, service, outbound, targetPort } of this.fleet.machines) {
      const next = services[services.indexOf(service) + 1];
      const nextPath = next === undefined ? undefined : nestedPath(next);
      const options = {
        machine: index,
        service,
        nextPath,
        outboundOrigin: outbound,
        port: targetPort,
      };
      this.targets.push(await SoakTarget.start(context, options));
    }
    this.reports = new TargetReports(
      this.fleet.machines.map(({ index, service, registration }) => ({
        target: this.targets[index]!,
        service,
        registration,
      })),
    );
  }

  private startClients(): void {
    const context = {
      random: new SeededRandom(this.plan.seed + 2),
      record: this.record,
      now: () => this.now(),
      isOver: () => this.isOver,
      deadlineMs: this.plan.clientDeadlineMs,
      hasUniqueRequests: this.plan.hasUniqueRequests === true,
    };
    for (const machine of this.fleet.machines) {
      const clients = new SoakClients(context, machine, this.plan.perSecond);
      this.clients.push(clients);
      clients.start();
      if (this.plan.uploads === undefined) continue;
      const isFaultFree = (): boolean => this.now() >= this.faultFreeFrom;
      const uploads = new UploadClients(context, machine, this.plan.uploads, isFaultFree);
      this.uploadClients.push(uploads);
      uploads.start();
    }
  }

  private async injectAt(fault: PlannedFault, from: number): Promise<void> {
    await this.waitUntil(from + fault.atMs);
    const index = fault.victim % this.fleet.machines.length;
    this.lastFaultAt.set(index, Infinity);
    await this.faults.inject(fault);
    this.lastFaultAt.set(index, this.now());
  }

  private async changeConfiguration(from: number): Promise<void> {
    for (const atMs of this.plan.changesAtMs) {
      await this.waitUntil(from + atMs);
      const version = await this.operator.declareNext();
      if (version === undefined) return;
      const acceptedAt = this.now();
      await this.waitUntil(acceptedAt + IN_FORCE_MS);
      await Promise.all(
        this.fleet.machines.map((machine) => this.checkConfiguration(machine, version)),
      );
    }
  }

  private async checkConfiguration(
    { index, outbound }: SoakMachine,
    version: number,
  ): Promise<void> {
    const isFaultFree = (): boolean =>
      this.now() - (this.lastFaultAt.get(index) ?? -Infinity) > FAULT_FREE_MS;
    if (!isFaultFree()) return;
    const isInForce = await isVersionInForce(outbound, version, `v${version}-m${index}`);
    if (isInForce === undefined || !isFaultFree()) return;
    this.record.onConfigurationRead(isInForce, `version ${version} at machine ${index}`);
  }
}
