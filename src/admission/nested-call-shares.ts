/**
 * Learns how many nested calls the calls of each kind make in a target. Nested calls carry no link to the call that makes them,
 * so their number in short windows is fitted to the number of calls of each kind: non-negative least squares, to which a kind
 * is added only if it explains much of what the others leave. Otherwise kinds that make no calls would get a part by chance.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';

/** Length of a window in milliseconds: about the duration of a run with nested calls. */
const WINDOW_MS = 200;
/** Weight of earlier windows in the sums: covers about the last 20 s. */
const DECAY = 0.99;
/** Windows with calls before the fit is used, and windows between two fits. */
const MIN_WINDOWS = 3;
const WINDOWS_PER_FIT = 2;
/** Passes of coordinate descent per fit. */
const FIT_PASSES = 20;
/** Part of the remaining squared error that a further kind must explain. */
const MIN_EXPLAINED = 0.2;
/** Maximum number of kinds to which the calls of one nested route are attributed; bounds the time of a fit. */
const MAX_CALLING_KINDS = 6;
/** Part of the variation of the calls below which further kinds explain nothing but rounding errors. */
const EXACT_PART = 0.02;
/** Nested calls per call from which a kind counts as making them. */
const MIN_CALLS_PER_RUN = 0.3;
/** Kinds and nested routes that are tracked, to bound the cost of a fit. */
const MAX_KINDS = 24;

/** Calls of one kind in the target. */
interface KindRuns {
  /** Half the calls that began plus half of those that ended in this window: nested calls lie between. */
  windowRuns: number;
  /** Decayed number of calls that ended, and decayed time of all calls. */
  ends: number;
  totalMs: number;
  inFlight: number;
  updatedAt: number;
}

/** Nested calls on one route. */
interface NestedRoute {
  windowCalls: number;
  /** Decayed sum of the squared numbers of nested calls. */
  squares: number;
  /** Decayed sum of the nested calls times the calls, by kind. */
  readonly products: Map<string, number>;
  /** Nested calls per call, by kind. */
  perRun: ReadonlyMap<string, number>;
}

export class NestedCallShares {
  private readonly kinds = new BoundedMap<KindRuns>(MAX_KINDS);
  private readonly routes = new BoundedMap<NestedRoute>(MAX_KINDS);
  /** Decayed sums of the calls of two kinds, multiplied. */
  private readonly squares = new BoundedMap<Map<string, number>>(MAX_KINDS);
  private windowStart: number;
  private windows = 0;

  constructor(private readonly clock: Clock) {
    this.windowStart = clock.now();
  }

  /** A call was sent to the target. */
  onStart(kind: string): void {
    const now = this.advance();
    let runs = this.kinds.get(kind);
    if (runs === undefined) {
      runs = { windowRuns: 0, ends: 0, totalMs: 0, inFlight: 0, updatedAt: now };
      this.kinds.set(kind, runs);
    }
    addTime(runs, now);
    runs.inFlight += 1;
    runs.windowRuns += 0.5;
  }

  /** A call has left the target. */
  onEnd(kind: string): void {
    const now = this.advance();
    const runs = this.kinds.get(kind);
    if (runs === undefined || runs.inFlight === 0) return;
    addTime(runs, now);
    runs.inFlight -= 1;
    runs.windowRuns += 0.5;
    runs.ends += 1;
  }

  /** The target makes a call. */
  onNestedCall(route: string): void {
    this.advance();
    let nested = this.routes.get(route);
    if (nested === undefined) {
      nested = { windowCalls: 0, squares: 0, products: new Map(), perRun: new Map() };
      this.routes.set(route, nested);
    }
    nested.windowCalls += 1;
  }

  /** Nested calls on `route` that a call of `kind` makes; 0 if it makes none, and until there is enough to tell. */
  callsPerRun(kind: string, route: string): number {
    if (this.windows < MIN_WINDOWS) return 0;
    const calls = this.routes.get(route)?.perRun.get(kind) ?? 0;
    return calls < MIN_CALLS_PER_RUN ? 0 : calls;
  }

  /** Mean time of a call of `kind` in the target, in milliseconds; undefined if none has ended. */
  meanMs(kind: string): number | undefined {
    const runs = this.kinds.get(kind);
    return runs === undefined || runs.ends < 1 ? undefined : runs.totalMs / runs.ends;
  }

  private advance(): number {
    const now = this.clock.now();
    if (now - this.windowStart >= WINDOW_MS) {
      this.windowStart = now;
      this.closeWindow();
    }
    return now;
  }

  private closeWindow(): void {
    this.addWindow();
    for (const runs of this.kinds.values()) {
      runs.windowRuns = 0;
      runs.ends *= DECAY;
      runs.totalMs *= DECAY;
    }
    for (const nested of this.routes.values()) nested.windowCalls = 0;
    this.windows += 1;
    if (this.windows % WINDOWS_PER_FIT !== 0 && this.windows !== MIN_WINDOWS) return;
    for (const nested of this.routes.values()) nested.perRun = this.fit(nested);
  }

  /** Adds the window to the decayed sums. */
  private addWindow(): void {
    for (const nested of this.routes.values()) {
      nested.squares = DECAY * nested.squares + nested.windowCalls ** 2;
    }
    for (const [kind, { windowRuns }] of this.kinds) {
      const row = this.rowOf(kind);
      for (const [other, runs] of this.kinds) {
        row.set(other, DECAY * (row.get(other) ?? 0) + windowRuns * runs.windowRuns);
      }
      for (const { products, windowCalls } of this.routes.values()) {
        products.set(kind, DECAY * (products.get(kind) ?? 0) + windowRuns * windowCalls);
      }
    }
  }

  private rowOf(kind: string): Map<string, number> {
    let row = this.squares.get(kind);
    if (row === undefined) {
      row = new Map();
      this.squares.set(kind, row);
    }
    return row;
  }

  /** Adds kinds one by one, the one that leaves the least error first. */
  private fit(nested: NestedRoute): ReadonlyMap<string, number> {
    let chosen: ReadonlyMap<string, number> = new Map();
    let error = nested.squares;
    while (chosen.size < MAX_CALLING_KINDS && error > EXACT_PART * nested.squares) {
      const next = this.bestWithOneMore(nested, [...chosen.keys()]);
      if (next === undefined || next.error > (1 - MIN_EXPLAINED) * error) return chosen;
      chosen = next.perRun;
      error = next.error;
    }
    return chosen;
  }

  private bestWithOneMore(
    nested: NestedRoute,
    chosen: readonly string[],
  ): { error: number; perRun: ReadonlyMap<string, number> } | undefined {
    let best: { error: number; perRun: ReadonlyMap<string, number> } | undefined;
    for (const kind of this.kinds.keys()) {
      if (chosen.includes(kind)) continue;
      const perRun = this.leastSquares(nested, [...chosen, kind]);
      const error = this.errorOf(nested, perRun);
      if (error < (best?.error ?? Infinity)) best = { error, perRun };
    }
    return best;
  }

  /** Coordinate descent with coefficients of at least 0. */
  private leastSquares({ products }: NestedRoute, kinds: readonly string[]): Map<string, number> {
    const perRun = new Map<string, number>();
    for (let pass = 0; pass < FIT_PASSES; pass += 1) {
      for (const kind of kinds) {
        const row = this.rowOf(kind);
        const square = row.get(kind) ?? 0;
        let explained = 0;
        for (const [other, calls] of perRun) {
          if (other !== kind) explained += calls * (row.get(other) ?? 0);
        }
        const product = (products.get(kind) ?? 0) - explained;
        perRun.set(kind, square > 0 ? Math.max(0, product / square) : 0);
      }
    }
    return perRun;
  }

  /** Decayed sum of the squared errors of a fit. */
  private errorOf({ squares, products }: NestedRoute, perRun: Map<string, number>): number {
    let error = squares;
    for (const [kind, calls] of perRun) {
      const row = this.rowOf(kind);
      error -= 2 * calls * (products.get(kind) ?? 0);
      for (const [other, otherCalls] of perRun) error += calls * otherCalls * (row.get(other) ?? 0);
    }
    return error;
  }
}

function addTime(runs: KindRuns, now: number): void {
  runs.totalMs += runs.inFlight * (now - runs.updatedAt);
  runs.updatedAt = now;
}
