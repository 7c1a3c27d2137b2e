/** A call graph in which each service calls the next one, for properties that must hold at any depth. */
import { simRoute, type CallGraph } from './call-graph.js';

export interface ChainOptions {
  /** Number of services, at least 1. */
  readonly depth: number;
  /** Sequential calls that a target makes to the next service. Default 1. */
  readonly fanOut?: number;
  /** Client requests per second, all to the first service. */
  readonly perSecond: number;
  /** Processing time at each target, without downstream calls. Default 2. */
  readonly workMs?: number;
}

const TARGETS = 3;
const SLOTS = 400;
const DEFAULT_WORK_MS = 2;
const OBJECTIVE_MS = 2_000;
const DEADLINE_MS = 5_000;
const NESTED_RANK = 1;

/** Returns the name of the service at a depth, counted from 0. */
export function chainService(depth: number): string {
  return `service-${depth}`;
}

/** Creates the call graph of a chain in which no service runs out of slots. */
export function chainGraph({
  depth,
  fanOut = 1,
  perSecond,
  workMs = DEFAULT_WORK_MS,
}: ChainOptions): CallGraph {
  const levels = Array.from({ length: depth }, (_, level) => level);
  return {
    services: levels.map((level) => ({
      name: chainService(level),
      targets: TARGETS,
      slots: SLOTS,
      workFactors: [1],
    })),
    routes: levels.map((level) =>
      simRoute({
        name: `route-${level}`,
        service: chainService(level),
        rank: NESTED_RANK,
        repeatable: true,
        objectiveMs: OBJECTIVE_MS,
        timeoutMs: DEADLINE_MS,
        deadlineMs: DEADLINE_MS,
        workMs,
        perSecond: level === 0 ? perSecond : 0,
        nested: level + 1 < depth ? [{ route: `route-${level + 1}`, times: fanOut }] : [],
      }),
    ),
  };
}
