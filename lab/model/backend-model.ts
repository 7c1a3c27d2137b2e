/**
 * A stand-in back end: slots, service times, nested calls, shedding, cold start, slowness. Pure, so
 * that the process and the simulator run the same one.
 */
import type { Clock, Timer } from '../../src/common/clock.js';
import { exponential, type RandomSource } from '../../src/common/random.js';
import type { HandlerModel, NestedCallModel, ServiceModel } from './deployment.js';
import type { Cancellable } from './cancellable.js';

/** A request that reached a back end. */
export interface BackendRequest {
  /** Names the logical request; the same in every attempt. */
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  /** Monotonic milliseconds; the back end gives up after it. */
  readonly deadlineAt: number;
}

/** Makes a nested call. Calls back once with the status, 0 for a broken connection. */
export type NestedCaller = (
  call: NestedCallModel,
  labId: string,
  done: (status: number) => void,
) => Cancellable;

/** Hears the answer of the back end, once. */
export type BackendListener = (status: number, responseBytes: number) => void;

/** What a back end keeps of one execution, for checks from outside. */
export interface ExecutionRecord {
  readonly labId: string;
  readonly method: string;
  readonly path: string;
  /** Monotonic milliseconds at which the work began. */
  readonly startedAt: number;
}

/** How a cold back end behaves. */
export interface ColdStart {
  /** Work takes this many times longer at first. */
  readonly factor: number;
  /** The extra time shrinks to nothing over this time. */
  readonly durationMs: number;
}

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_BAD_GATEWAY = 502;
const STATUS_UNAVAILABLE = 503;
/** Part of the work that is the same every time; the rest is exponential. */
const FIXED_WORK_FRACTION = 0.5;

/** One request inside the back end. */
export class BackendCall {
  private timer: Timer | undefined;
  private nested: Cancellable | undefined;
  private finished = false;
  holdsSlot = false;
  /** Start of the back end's process that this call belongs to. */
  readonly generation: number;

  constructor(
    private readonly backend: BackendModel,
    readonly request: BackendRequest,
    readonly handler: HandlerModel,
    private readonly listener: BackendListener,
  ) {
    this.generation = backend.generation;
  }

  /** The caller went away: the back end stops working on the request. */
  cancel(): void {
    if (this.finished) return;
    this.finished = true;
    this.timer?.cancel();
    this.nested?.cancel();
    this.backend.leave(this);
  }

  /** A slot is free: do the work, then the nested calls, then answer. */
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
    this.nested = this.backend.callOut(call, `${this.request.labId}/${index}`, (status) => {
      this.nested = undefined;
      if (this.finished) return;
      if (status === STATUS_OK) this.callNext(index + 1);
      else this.answer(status === STATUS_UNAVAILABLE ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY);
    });
  }

  private answer(status: number): void {
    this.finished = true;
    this.backend.leave(this);
    this.listener(status, status === STATUS_OK ? this.handler.responseBytes : 0);
  }
}

export class BackendModel {
  /** What ran here. */
  readonly executions: ExecutionRecord[] = [];
  private readonly waiting: BackendCall[] = [];
  private busy = 0;
  private slowFactor = 1;
  /** Counts starts of the process. */
  generation = 0;
  private cold: ColdStart | undefined;
  private coldSince = 0;

  constructor(
    readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly service: ServiceModel,
    readonly callOut: NestedCaller,
    private readonly onExecution: (record: ExecutionRecord) => void = () => undefined,
  ) {}

  /** Makes all work take `factor` times as long. */
  setSlowFactor(factor: number): void {
    this.slowFactor = factor;
  }

  /** Begins a cold start now. */
  startCold(cold: ColdStart): void {
    this.cold = cold;
    this.coldSince = this.clock.now();
  }

  /** Takes a request. The listener may hear the answer before this returns. */
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

  /** The process starts again with nothing inside. A slow service stays slow. */
  reset(): void {
    this.waiting.length = 0;
    this.busy = 0;
    this.cold = undefined;
    this.generation += 1;
  }

  /** A call has ended or was cancelled. */
  leave(call: BackendCall): void {
    if (call.generation !== this.generation) return;
    if (call.holdsSlot) this.busy -= 1;
    else {
      const index = this.waiting.indexOf(call);
      if (index >= 0) this.waiting.splice(index, 1);
    }
    this.dispatch();
  }

  /** Draws the time of one handler's work. */
  drawWork(handler: HandlerModel): number {
    const fixed = FIXED_WORK_FRACTION * handler.workMs;
    const varying = exponential(this.random, (1 - FIXED_WORK_FRACTION) * handler.workMs);
    return (fixed + varying) * this.slowFactor * this.coldFactor();
  }

  private coldFactor(): number {
    if (this.cold === undefined) return 1;
    const progress = (this.clock.now() - this.coldSince) / this.cold.durationMs;
    if (progress >= 1) {
      this.cold = undefined;
      return 1;
    }
    return this.cold.factor + (1 - this.cold.factor) * progress;
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
