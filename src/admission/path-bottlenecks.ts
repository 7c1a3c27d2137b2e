/**
 * The most loaded service on the path of the calls that one target handles: its own, or one that its nested calls reach. Each
 * gate tells it with its answers, so that it passes from the deepest service to the process that a client's request reaches first.
 */
import type { Bottleneck } from '../call/outcome.js';
import { BoundedMap } from '../common/bounded-map.js';
import { averagingWeight } from '../common/averaging-weight.js';
import type { Clock } from '../common/clock.js';
import type { NestedCallShares } from './nested-call-shares.js';
import type { TargetPressure } from './target-pressure.js';

/** Pressure above which a service is told as a bottleneck: it has room for all below. */
const MIN_TOLD_PRESSURE = 1.01;
/** Time constant by which the answers to nested calls are averaged, in milliseconds, and the smallest weight of one answer. */
const AVERAGING_MS = 50;
const MIN_WEIGHT = 0.1;
/** Time without an answer after which what was told no longer counts, in milliseconds. */
const MAX_AGE_MS = 1_000;
/** Nested routes that are kept, to bound memory. */
const MAX_ROUTES = 1_000;

interface ToldBottleneck {
  service: string;
  pressure: number;
  workMs: number | undefined;
  toldAt: number;
}

export interface PathBottlenecksOptions {
  readonly clock: Clock;
  /** Name of the target's own service; undefined while there is no target. */
  readonly service: () => string | undefined;
  readonly pressure: TargetPressure;
  readonly shares: NestedCallShares;
}

export class PathBottlenecks {
  private readonly routes = new BoundedMap<ToldBottleneck>(MAX_ROUTES);

  constructor(private readonly options: PathBottlenecksOptions) {}

  /** A call was sent to the target. */
  onStart(kind: string): void {
    this.options.shares.onStart(kind);
    this.options.pressure.update();
  }

  /** A call has left the target. */
  onEnd(kind: string): void {
    this.options.shares.onEnd(kind);
    this.options.pressure.update();
  }

  /** The target makes a call. */
  onNestedCall(route: string): void {
    this.options.shares.onNestedCall(route);
  }

  /** A call that the target made was answered or refused. @param told undefined if its path is under no pressure */
  onNestedAnswer(route: string, told: Bottleneck | undefined): void {
    const now = this.options.clock.now();
    const state = this.routes.get(route);
    if (state === undefined) {
      if (told !== undefined) this.routes.set(route, { workMs: undefined, ...told, toldAt: now });
      return;
    }
    const weight = averagingWeight(now - state.toldAt, AVERAGING_MS, MIN_WEIGHT);
    state.toldAt = now;
    if (told !== undefined && told.service !== state.service && told.pressure > state.pressure) {
      state.service = told.service;
      state.workMs = told.workMs;
    }
    if (told?.service === state.service && told.workMs !== undefined) {
      const before = state.workMs ?? told.workMs;
      state.workMs = before + weight * (told.workMs - before);
    }
    state.pressure += weight * ((told?.pressure ?? 1) - state.pressure);
  }

  /** Whether a service that the target's calls reach is under pressure, whichever kinds make these calls. */
  get isAnyDownstream(): boolean {
    const now = this.options.clock.now();
    for (const { pressure, toldAt } of this.routes.values()) {
      if (pressure >= MIN_TOLD_PRESSURE && now - toldAt <= MAX_AGE_MS) return true;
    }
    return false;
  }

  /** The bottleneck to tell with the answer to a call of `kind`; undefined if its path is under no pressure. */
  bottleneckOf(kind: string): Bottleneck | undefined {
    const { clock, service, pressure, shares } = this.options;
    const own = service();
    let highest = pressure.current();
    let bottleneck = own;
    let workMs = shares.meanMs(kind);
    const now = clock.now();
    for (const [route, told] of this.routes) {
      if (told.pressure <= highest || now - told.toldAt > MAX_AGE_MS) continue;
      const calls = shares.callsPerRun(kind, route);
      if (calls === 0) continue;
      highest = told.pressure;
      bottleneck = told.service;
      workMs = told.workMs === undefined ? undefined : calls * told.workMs;
    }
    if (bottleneck === undefined || highest < MIN_TOLD_PRESSURE) return undefined;
    return { service: bottleneck, pressure: highest, ...(workMs !== undefined && { workMs }) };
  }
}
