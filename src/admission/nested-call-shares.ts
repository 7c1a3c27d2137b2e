/**
 * Learns which kinds of call make nested calls in a target. Nested calls carry no link to the call that makes them, so their
 * number in short windows is compared with the time that calls of each kind spent in the target in these windows: the
 * coefficients of a non-negative least-squares fit are the nested calls that a kind makes per millisecond.
 */
import { BoundedMap } from '../common/bounded-map.js';
import type { Clock } from '../common/clock.js';

/** Length of a window in milliseconds: shorter than a run, so that windows differ. */
const WINDOW_MS = 100;
/** Weight of earlier windows in the sums: covers about the last 30 s of calls. */
const DECAY = 0.997;
/** Windows with calls before the fit is used. */
const MIN_WINDOWS = 5;
/** Windows between two fits. */
const WINDOWS_PER_FIT = 5;
/** Passes of coordinate descent per fit; later fits continue from the earlier one. */
const FIT_PASSES = 20;
/** Nested calls per call from which a kind counts as making them: fewer are noise of the fit. */
const MIN_CALLS_PER_RUN = 0.3;
/** Kinds and nested routes that are tracked, to bound the cost of a fit. */
const MAX_KINDS = 24;

/** Calls of one kind in the target. */
interface KindRuns {
  inFlight: number;
  /** Time of all calls in the target, in milliseconds: in this window and, decayed, before. */
  windowMs: number;
  totalMs: number;
  /** Calls, decayed. */
  runs: number;
}

/** Nested calls on one route. */
interface NestedRoute {
  windowCalls: number;
  /** Decayed sum of the nested calls times the run time, by kind. */
  readonly products: Map<string, number>;
  /** Nested calls per millisecond of a run, by kind. */
  readonly rates: Map<string, number>;
}

export class NestedCallShares {
  private readonly kinds = new BoundedMap<KindRuns>(MAX_KINDS);
  private readonly routes = new BoundedMap<NestedRoute>(MAX_KINDS);
  /** Decayed sums of the run times of two kinds, multiplied. */
  private readonly squares = new Map<string, Map<string, number>>();
  private windowStart: number;
  private updatedAt: number;
  private windows = 0;

  constructor(private readonly clock: Clock) {
    this.windowStart = clock.now();
    this.updatedAt = this.windowStart;
  }

  /** A call was sent to the target. */
  onStart(kind: string): void {
    this.advance();
    let runs = this.kinds.get(kind);
    if (runs === undefined) {
      runs = { inFlight: 0, windowMs: 0, totalMs: 0, runs: 0 };
      this.kinds.set(kind, runs);
    }
    runs.inFlight += 1;
    runs.runs += 1;
  }

  /** A call has left the target. */
  onEnd(kind: string): void {
    this.advance();
    const runs = this.kinds.get(kind);
    if (runs !== undefined && runs.inFlight > 0) runs.inFlight -= 1;
  }

  /** The target makes a call. */
  onNestedCall(route: string): void {
    this.advance();
    let nested = this.routes.get(route);
    if (nested === undefined) {
      nested = { windowCalls: 0, products: new Map(), rates: new Map() };
      this.routes.set(route, nested);
    }
    nested.windowCalls += 1;
  }

  /** Whether calls of `kind` make nested calls on `route`; false until there is enough to tell. */
  makesCalls(kind: string, route: string): boolean {
    const runs = this.kinds.get(kind);
    const rate = this.routes.get(route)?.rates.get(kind);
    if (runs === undefined || rate === undefined || this.windows < MIN_WINDOWS) return false;
    return (rate * runs.totalMs) / Math.max(1, runs.runs) >= MIN_CALLS_PER_RUN;
  }

  private advance(): void {
    const now = this.clock.now();
    const elapsedMs = now - this.updatedAt;
    this.updatedAt = now;
    for (const runs of this.kinds.values()) runs.windowMs += runs.inFlight * elapsedMs;
    if (now - this.windowStart < WINDOW_MS) return;
    this.windowStart = now;
    this.closeWindow();
  }

  private closeWindow(): void {
    this.addWindow();
    for (const runs of this.kinds.values()) runs.windowMs = 0;
    for (const nested of this.routes.values()) nested.windowCalls = 0;
    this.windows += 1;
    if (this.windows % WINDOWS_PER_FIT !== 0) return;
    for (const nested of this.routes.values()) this.fit(nested);
  }

  /** Adds the window to the decayed sums. */
  private addWindow(): void {
    for (const [kind, runs] of this.kinds) {
      runs.totalMs = DECAY * runs.totalMs + runs.windowMs;
      runs.runs *= DECAY;
      const row = this.squaresOf(kind);
      for (const [other, { windowMs }] of this.kinds) {
        row.set(other, DECAY * (row.get(other) ?? 0) + runs.windowMs * windowMs);
      }
      for (const { products, windowCalls } of this.routes.values()) {
        products.set(kind, DECAY * (products.get(kind) ?? 0) + runs.windowMs * windowCalls);
      }
    }
  }

  private squaresOf(kind: string): Map<string, number> {
    let row = this.squares.get(kind);
    if (row === undefined) {
      if (this.squares.size >= MAX_KINDS) this.squares.clear();
      row = new Map();
      this.squares.set(kind, row);
    }
    return row;
  }

  /** Coordinate descent with coefficients of at least 0. */
  private fit({ products, rates }: NestedRoute): void {
    for (let pass = 0; pass < FIT_PASSES; pass += 1) {
      for (const kind of this.kinds.keys()) {
        const row = this.squaresOf(kind);
        const square = row.get(kind) ?? 0;
        if (square <= 0) continue;
        let explained = 0;
        for (const [other, rate] of rates) {
          if (other !== kind) explained += rate * (row.get(other) ?? 0);
        }
        rates.set(kind, Math.max(0, ((products.get(kind) ?? 0) - explained) / square));
      }
    }
  }
}
