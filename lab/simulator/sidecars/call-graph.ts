/** Describes a deployment of sidecars for the simulation: its services, and its routes with their load. */
import type { Importance } from '../../../src/policy/importance.js';
import type { Route } from '../../../src/policy/route-table.js';

/** A service and its targets. */
export interface SimService {
  readonly name: string;
  readonly targets: number;
  /** Maximum number of concurrent calls per target. */
  readonly slots: number;
  /** Multiples of the route's work time, assigned to the targets in rotation. */
  readonly workFactors: readonly number[];
}

/** Downstream calls that a target makes for each call of a route. */
export interface SimNestedCalls {
  readonly route: string;
  readonly times: number;
}

/** A route with its load. */
export interface SimRoute {
  readonly route: Route;
  readonly service: string;
  /** Mean processing time at the target, without downstream calls. */
  readonly workMs: number;
  readonly nested: readonly SimNestedCalls[];
  /** Whether the nested calls run in parallel instead of in sequence. Default false. */
  readonly nestedInParallel?: boolean;
  /** Client requests per second; 0 for routes that only targets call. */
  readonly perSecond: number;
  /** Time after which a client or calling target gives up. */
  readonly deadlineMs: number;
  /** Maximum number of retries by a client. */
  readonly clientRetries: number;
}

/** A fraction of the calls, 0 to 1, that take a multiple of their usual work time. */
export interface WorkTail {
  readonly part: number;
  readonly factor: number;
}

export interface CallGraph {
  /**
   * Number of zones, each with a contiguous block of the targets of every service. By default, the targets
   * are assigned to three zones in rotation.
   */
  readonly zones?: number;
  /** Fraction of the client requests that arrive in each zone, in order; requires `zones`. Default: by number of machines. */
  readonly zoneDemand?: readonly number[];
  /** Calls that take much longer than others of their route. Default: none. */
  readonly workTail?: WorkTail;
  readonly services: readonly SimService[];
  readonly routes: readonly SimRoute[];
}

/** Options of {@link simRoute}; all other properties of a route take fixed values. */
export interface RouteOptions extends Omit<SimRoute, 'route' | 'clientRetries'> {
  readonly name: string;
  readonly rank: number;
  readonly repeatable: boolean;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
}

const MAX_IMPORTANCE = 3;
const MAX_TARGETS = 2;

/** Creates a route from its options and the values that all routes share. */
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
