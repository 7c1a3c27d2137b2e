/**
 * Model of a back end: a fixed number of slots, a queue, random service times, nested calls, load shedding, cold
 * start and slowdown. Does no I/O of its own, so that real processes and the simulator share it.
 */
import type { Clock, Timer } from '../../src/common/clock.js';
import { sampleExponential, type RandomSource } from '../../src/common/random.js';
import type { HandlerModel, NestedCallModel, ServiceModel } from './deployment.js';
import type { Cancellable } from './cancellable.js';

/** A request received by a back end. */
export interface BackendRequest {
  /** Id of the logical request; the same for all its attempts. */
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  /** Deadline in monotonic milliseconds. */
  readonly deadlineAt: number;
}

/** Makes a nested call. Invokes `done` once with the HTTP status, or 0 for a broken connection. */
export type NestedCaller = (
  call: NestedCallModel,
  labId: string,
  done: (status: number) => void,
) => Cancellable;

/** Receives the back end's response, once. */
export type BackendListener = (status: number, responseBytes: number) => void;

/** Record of one execution, from which the promises are checked. */
export interface ExecutionRecord {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  /** Start of the work, in monotonic milliseconds. */
  readonly startedAt: number;
}

/** Parameters of a cold start. */
export interface ColdStart {
  /** Factor by which work is slower at the beginning. */
  readonly factor: number;
  /** Time over which the factor falls linearly to 1. */
  readonly durationMs: number;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
/** Fraction of the service time that is constant; the rest is exponentially distributed. */
const FIXED_WORK_FRACTION = 0.5;

/** One request that is queued or running in the back end. */
export class BackendCall {
  private timer: Timer | undefined;
  private nested: Cancellable | undefined;
  private finished = false;
  holdsSlot = false;
  /** Value of {@link BackendModel.generation} when the call arrived. */
  readonly generation: number;

  constructor(
    private readonly backend: BackendModel,
    readonly request: BackendRequest,
    readonly handler: HandlerModel,
    private readonly listener: BackendListener,
  ) {
    this.generation = backend.generation;
  }

  /** Stops the work on the request because its caller has cancelled it. */
  cancel(): void {
    if (this.finished) return;
    this.finished = true;
    this.timer?.cancel();
    this.nested?.cancel();
    this.backend.remove(this);
  }

  /** Occupies a slot: does the handler's own work, then the nested calls, then responds. */
  run(): void {
    this.holdsSlot = true;
    const workMs = this.backend.drawWork(this.handler);
    this.timer = this.backend.clock.schedule(workMs, () => this.callNext(0));
  }

  private callNext(index: number): void {
    const call = this.handler.calls[index];
    if (call === undefined) {
      this.answer(STATUS_OK);
      return;
    }
    this.nested = this.backend.makeNestedCall(call, `${this.request.labId}/${index}`, (status) => {
      this.nested = undefined;
      if (this.finished) return;
      if (status === STATUS_OK) this.callNext(index + 1);
      else this.answer(status === STATUS_UNAVAILABLE ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY);
    });
  }

  private answer(status: number): void {
    this.finished = true;
    this.backend.remove(this);
    this.listener(status, status === STATUS_OK ? this.handler.responseBytes : 0);
  }
}

export class BackendModel {
  /** All executions since the model was created, across restarts. */
  readonly executions: ExecutionRecord[] = [];
  private readonly waiting: BackendCall[] = [];
  private busy = 0;
  private slowFactor = 1;
  /** Number of restarts; calls of an earlier generation no longer affect the slots. */
  generation = 0;
  private coldStart: ColdStart | undefined;
  private coldStartedAt = 0;

  constructor(
    readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly service: ServiceModel,
    readonly makeNestedCall: NestedCaller,
    private readonly onExecution: (record: ExecutionRecord) => void = () => undefined,
  ) {}

  /** Sets the factor by which all work is slowed down; 1 is normal speed. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  /** Begins a cold start now. */
  beginColdStart(cold: ColdStart): void {
    this.coldStart = cold;
    this.coldStartedAt = this.clock.now();
  }

  /**
   * Queues or runs a request. The listener may be called before this returns.
   * @returns undefined when the request was answered at once: no matching handler, or the queue is full
   */
  accept(request: BackendRequest, listener: BackendListener): BackendCall | undefined {
    const handler = this.service.handlers.find(
      (candidate) => candidate.method === request.method && request.path.startsWith(candidate.path),
    );
    if (handler === undefined) {
      listener(STATUS_NOT_FOUND, 0);
      return undefined;
    }
    if (this.busy >= this.service.slots && this.waiting.length >= this.service.shedAbove) {
      listener(STATUS_UNAVAILABLE, 0);
      return undefined;
    }
    const call = new BackendCall(this, request, handler, listener);
    this.waiting.push(call);
    this.dispatch();
    return call;
  }

  /** Simulates a restart: drops all calls and ends a cold start. A slow factor stays in effect. */
  reset(): void {
    this.waiting.length = 0;
    this.busy = 0;
    this.coldStart = undefined;
    this.generation += 1;
  }

  /** Removes a call that has ended or was cancelled, and starts the next one. */
  remove(call: BackendCall): void {
    if (call.generation !== this.generation) return;
    if (call.holdsSlot) this.busy -= 1;
    else {
      const index = this.waiting.indexOf(call);
      if (index >= 0) this.waiting.splice(index, 1);
    }
    this.dispatch();
  }

  /** Draws a service time for the handler's own work, in milliseconds. */
  drawWork(handler: HandlerModel): number {
    const fixed = FIXED_WORK_FRACTION * handler.workMs;
    const varying = sampleExponential(this.random, (1 - FIXED_WORK_FRACTION) * handler.workMs);
    return (fixed + varying) * this.slowFactor * this.coldFactor();
  }

  private coldFactor(): number {
    if (this.coldStart === undefined) return 1;
    const progress = (this.clock.now() - this.coldStartedAt) / this.coldStart.durationMs;
    if (progress >= 1) {
      this.coldStart = undefined;
      return 1;
    }
    return this.coldStart.factor + (1 - this.coldStart.factor) * progress;
  }

  private dispatch(): void {
    while (this.busy < this.service.slots) {
      const call = this.waiting.shift();
      if (call === undefined) return;
      this.busy += 1;
      const { labId, method, path } = call.request;
      const record: ExecutionRecord = { labId, method, path, startedAt: this.clock.now() };
      this.executions.push(record);
      this.onExecution(record);
      call.run();
    }
  }
}
