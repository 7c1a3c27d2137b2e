/**
 * Runs one soak of starts: real processes on loopback, whose troubles fall into their first seconds. Once these are over, every process
 * has to run, and every machine has to serve requests within the time for recovery; no process may end without a cause in the plan.
 */
import { rmSync } from 'node:fs';
import { SeededRandom } from '../../src/common/random.js';
import { bundlePrograms } from './bundled-programs.js';
import { prepareFolder, type SoakResult } from './run-soak.js';
import { READ_PATH, requestStatus, SOAK_HOST, SoakOperator } from './soak-operator.js';
import { Check, SoakRecord, type Violation } from './soak-record.js';
import { SoakTarget, type TargetContext } from './soak-target.js';
import { StartFleet, type StartMachine } from './start-fleet.js';
import type { StartPlan } from './start-plan.js';
import { TargetReports } from './target-reports.js';

const RETRY_MS = 100;
const STATUS_OK = 200;

/** Runs a plan. @throws when the folder holds the files of an earlier run */
export async function runStarts(plan: StartPlan, workDir: string): Promise<SoakResult> {
  prepareFolder(plan, workDir);
  const fleet = await StartFleet.create(plan, await bundlePrograms(workDir), workDir);
  const run = new StartRun(plan, fleet);
  try {
    const result = { ...(await run.execute()), workDir };
    if (result.violations.length === 0) rmSync(workDir, { recursive: true });
    return result;
  } finally {
    run.end();
    await fleet.end();
  }
}

class StartRun {
  private readonly startedAt = performance.now();
  private readonly targets: SoakTarget[] = [];
  private reports: TargetReports | undefined;

  constructor(
    private readonly plan: StartPlan,
    private readonly fleet: StartFleet,
  ) {}

  async execute(): Promise<Omit<SoakResult, 'workDir'>> {
    const { plan, fleet } = this;
    await this.startTargets();
    await Promise.all(fleet.processes.map((process) => process.runPlan()));
    const recoveredBy = this.now() + plan.calmMs;
    const unserved = await this.findUnserved(recoveredBy);
    const machines = fleet.machines.length;
    const ends = fleet.processes.flatMap(({ ownEnds }) => [...ownEnds.values()]);
    const absent = fleet.processes.filter(({ isRunning }) => !isRunning);
    return {
      violations: [
        ...ends.map(({ description, count, lastLine }) =>
          violation(Check.NoOwnExit, `${description} (${count} times); last line: ${lastLine}`),
        ),
        ...absent.map(({ id }) => violation(Check.NoOwnExit, `${id} does not run at the end`)),
        ...unserved.map((detail) => violation(Check.Recovery, detail)),
      ],
      checkCounts: new Map([
        [Check.NoOwnExit, fleet.processes.length],
        [Check.Recovery, machines],
      ]),
      successRatio: 1 - unserved.length / machines,
    };
  }

  end(): void {
    this.reports?.end();
    for (const target of this.targets) target.stop();
  }

  private now(): number {
    return performance.now() - this.startedAt;
  }

  private async startTargets(): Promise<void> {
    const context: TargetContext = {
      random: new SeededRandom(this.plan.seed + 1),
      record: new SoakRecord(),
      now: () => this.now(),
      repeatedIds: new Set(),
      seenIds: new Set(),
      host: SOAK_HOST,
      nestedDeadlineMs: this.plan.nestedDeadlineMs,
    };
    const reported = [];
    for (const { index, service, outbound, registration, targetPort } of this.fleet.machines) {
      const options = { machine: index, service, nextPath: undefined, outboundOrigin: outbound };
      const target = await SoakTarget.start(context, { ...options, port: targetPort });
      this.targets.push(target);
      reported.push({ target, service, registration });
    }
    this.reports = new TargetReports(reported);
  }

  /** Declares the routes and sends requests to every machine until each is served. @returns what was not served in time */
  private async findUnserved(recoveredBy: number): Promise<string[]> {
    const { plan, fleet } = this;
    const isOver = (): boolean => this.now() > recoveredBy;
    const operator = new SoakOperator(plan, fleet.replicas, isOver);
    const isDeclared = (await operator.declareNext()) !== undefined;
    const refusals = await Promise.all(
      fleet.machines.map(async (machine) =>
        isDeclared ? findRefusal(machine, isOver) : 'no replica accepted a configuration',
      ),
    );
    return refusals.flatMap((refusal, index) =>
      refusal === undefined
        ? []
        : [
            `sidecar-${index} served nothing within ${plan.calmMs} ms of the last restart: ${refusal}`,
          ],
    );
  }
}

/** Sends requests to a machine until one is served. @returns the last failure; undefined if one was served in time */
async function findRefusal(
  { index, outbound }: StartMachine,
  isOver: () => boolean,
): Promise<string | undefined> {
  let status: number | undefined;
  for (let attempt = 0; !isOver(); attempt += 1) {
    status = await requestStatus(outbound, `${READ_PATH}1`, `start-${index}-${attempt}`);
    if (status === STATUS_OK) return undefined;
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
  return status === undefined ? 'no answer' : `status ${status}`;
}

function violation(check: Check, detail: string): Violation {
  return { check, detail };
}
