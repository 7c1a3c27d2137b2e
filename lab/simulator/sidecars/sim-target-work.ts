/**
 * Simulates the processing of one call at a target: equal steps of its own work with nested calls between them.
 * The call fails if a nested call fails.
 */
import type { Clock, Timer } from '../../../src/common/clock.js';
import type { RandomSource } from '../../../src/common/random.js';
import type { Cancellable } from '../../model/cancellable.js';
import type { LongRuns, SimRoute } from './call-graph.js';
import type { SpeedBursts } from './speed-bursts.js';

/** Sends a nested call of the target. `done` receives its status. */
export type NestedSender = (
  route: string,
  deadlineMs: number,
  done: (status: number) => void,
) => Cancellable;

/** How fast the target works. */
export interface WorkSpeed {
  /** Multiple of the work time of the route. */
  readonly factor: number;
  /** Undefined if the speed does not change. */
  readonly bursts: SpeedBursts | undefined;
  readonly longRuns: LongRuns | undefined;
}

const STATUS_OK = 200;
const STATUS_FAILED = 500;
const STATUS_DEADLINE = 504;
/** Work time is multiplied by a uniform random factor between 1 - WORK_SPREAD and 1 + WORK_SPREAD. */
const WORK_SPREAD = 0.5;

export class SimTargetWork implements Cancellable {
  private timer: Timer | undefined;
  private readonly deadlineTimer: Timer;
  private nestedCalls: Cancellable[] = [];
  private pendingCallCount = 0;
  private isOver = false;
  private readonly calls: readonly string[];
  /** Number of nested calls sent in parallel after each step. */
  private readonly callsPerStep: number;
  private readonly stepMs: number;
  private readonly startedAt: number;
  private nextCall = 0;

  /** @param deadlineMs time after which the call ends with status 504 */
  constructor(
    private readonly clock: Clock,
    random: RandomSource,
    route: SimRoute,
    private readonly speed: WorkSpeed,
    private readonly deadlineMs: number,
    private readonly send: NestedSender,
    private readonly done: (status: number) => void,
  ) {
    this.calls = route.nested.flatMap((nested) =>
      Array.from({ length: nested.times }, () => nested.route),
    );
    const spread = 1 - WORK_SPREAD + 2 * WORK_SPREAD * random.next();
    const multiple = drawLongRun(speed.longRuns, random) ?? spread;
    const steps =
      route.nestedInParallel === true ? Math.min(1, this.calls.length) : this.calls.length;
    this.callsPerStep = steps === 0 ? 0 : this.calls.length / steps;
    this.stepMs = (route.workMs * speed.factor * multiple) / (steps + 1);
    this.startedAt = clock.now();
    this.deadlineTimer = clock.schedule(deadlineMs, () => this.finish(STATUS_DEADLINE));
    this.scheduleStep();
  }

  get isRunning(): boolean {
    return !this.isOver;
  }

  cancel(): void {
    this.end();
  }

  private scheduleStep(): void {
    this.scheduleWork(this.stepMs);
  }

  /** @param workMs work left in the step, in milliseconds at the usual speed */
  private scheduleWork(workMs: number): void {
    const { bursts } = this.speed;
    const factor = bursts?.factorAt(this.clock.now()) ?? 1;
    const phaseMs = bursts?.phaseLeftMs(this.clock.now()) ?? Infinity;
    if (workMs * factor <= phaseMs) {
      this.timer = this.clock.schedule(workMs * factor, () => this.onStepDone());
      return;
    }
    const leftMs = workMs - phaseMs / factor;
    this.timer = this.clock.schedule(phaseMs, () => this.scheduleWork(leftMs));
  }

  private onStepDone(): void {
    if (this.nextCall >= this.calls.length) {
      this.finish(STATUS_OK);
      return;
    }
    const routes = this.calls.slice(this.nextCall, this.nextCall + this.callsPerStep);
    this.nextCall += routes.length;
    this.pendingCallCount = routes.length;
    for (const route of routes) this.call(route);
  }

  private call(route: string): void {
    if (this.isOver) return;
    const leftMs = this.deadlineMs - (this.clock.now() - this.startedAt);
    this.nestedCalls.push(this.send(route, leftMs, (status) => this.onNestedDone(status)));
  }

  private onNestedDone(status: number): void {
    if (this.isOver) return;
    if (status !== STATUS_OK) {
      this.finish(STATUS_FAILED);
      return;
    }
    this.pendingCallCount -= 1;
    if (this.pendingCallCount > 0) return;
    this.nestedCalls = [];
    this.scheduleStep();
  }

  private finish(status: number): void {
    if (this.isOver) return;
    this.end();
    this.done(status);
  }

  private end(): void {
    this.isOver = true;
    this.timer?.cancel();
    this.deadlineTimer.cancel();
    for (const call of this.nestedCalls) call.cancel();
  }
}

/**
 * Draws no random value without long runs, so that other runs keep their random sequence.
 * @returns the multiple of the work time if the run is long
 */
function drawLongRun(longRuns: LongRuns | undefined, random: RandomSource): number | undefined {
  if (longRuns === undefined) return undefined;
  return random.next() < longRuns.part ? longRuns.factor : undefined;
}
