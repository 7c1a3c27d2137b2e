/** A deployment of sidecars for the simulation in virtual time: its services, and routes with their demand. */
import type { Importance } from '../../../src/policy/importance.js';
import type { Route } from '../../../src/policy/route-table.js';

/** A service and its targets. */
export interface SimService {
  readonly name: string;
  readonly targets: number;
  /** Calls that a target works on at the same time. */
  readonly slots: number;
  /** Work of each target relative to the route's, in turn: 2 takes twice as long. */
  readonly workFactors: readonly number[];
}

/** Calls that a target makes one after the other for each call of a route. */
export interface SimNestedCalls {
  readonly route: string;
  readonly times: number;
}

/** A route with its demand. */
export interface SimRoute {
  readonly route: Route;
  readonly service: string;
  /** Mean work of the target itself, in milliseconds. */
  readonly workMs: number;
  readonly nested: readonly SimNestedCalls[];
  /** Whether those calls are made all at once in place of one after the other. Default false. */
  readonly nestedInParallel?: boolean;
  /** Requests of clients a second; 0 for routes that only targets call. */
  readonly perSecond: number;
  /** Milliseconds that a client or calling target waits. */
  readonly deadlineMs: number;
  /** Times that a client sends a request again. */
  readonly clientRetries: number;
}

export interface CallGraph {
  /** Zones, each with a block of the targets of every service. Default: three, which take the targets in turn. */
  readonly zones?: number;
  readonly services: readonly SimService[];
  readonly routes: readonly SimRoute[];
}

/** What a route is made of here; the rest takes the values that all share. */
export interface RouteOptions extends Omit<SimRoute, 'route' | 'clientRetries'> {
  readonly name: string;
  readonly rank: number;
  readonly repeatable: boolean;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
}

const MAX_IMPORTANCE = 3;
const MAX_TARGETS = 2;

/** Completes a route. */
export function simRoute(options: RouteOptions): SimRoute {
  const { name, rank, repeatable, objectiveMs, timeoutMs, ...rest } = options;
  return {
    ...rest,
    clientRetries: 1,
    route: {
      name,
      repeatable,
      bulk: false,
      timeoutMs,
      objectiveMs,
      rank,
      importance: Math.max(0, MAX_IMPORTANCE - rank) as Importance,
      maxTargets: MAX_TARGETS,
      anonymous: false,
      backends: [{ service: options.service, weight: 1 }],
    },
  };
}
