/**
 * A booking deployment whose targets differ in speed by nature and slow down for moments. Few runs take many times as long as
 * usual; at the slow targets these exceed the timeouts of the two routes that may run only once. No service is short of slots.
 */
import { simRoute, type CallGraph } from './call-graph.js';

const NO_CALLS = [] as const;
/** Targets of some services work more slowly for moments, as in shared machines. */
export const BURSTS = { part: 0.15, meanMs: 600, factor: 2.5 };
/** A few runs take much longer than usual, at any target. */
export const LONG_RUNS = { part: 0.03, factor: 7 };

export const UNEVEN_TARGETS_GRAPH: CallGraph = {
  zones: 3,
  longRuns: LONG_RUNS,
  // One zone has more demand than targets.
  zoneDemand: [2, 1, 1],
  services: [
    { name: 'views', targets: 42, slots: 35, workFactors: [0.6, 1, 1.6], bursts: BURSTS },
    { name: 'offers', targets: 25, slots: 59, workFactors: [0.7, 0.7, 1.6], bursts: BURSTS },
    { name: 'credit', targets: 14, slots: 104, workFactors: [0.6, 1, 1.4] },
    { name: 'tax', targets: 8, slots: 41, workFactors: [0.5, 1, 1, 1.5] },
  ],
  routes: [
    simRoute({
      name: 'view',
      service: 'views',
      rank: 2,
      repeatable: true,
      objectiveMs: 1_500,
      timeoutMs: 1_000,
      deadlineMs: 1_000,
      workMs: 140,
      perSecond: 732,
      nested: [{ route: 'residual', times: 1 }],
    }),
    simRoute({
      name: 'accept',
      service: 'offers',
      rank: 0,
      repeatable: false,
      objectiveMs: 1_500,
      timeoutMs: 1_200,
      deadlineMs: 5_000,
      workMs: 180,
      perSecond: 234,
      nested: [{ route: 'check', times: 1 }],
    }),
    simRoute({
      name: 'hold',
      service: 'credit',
      rank: 0,
      repeatable: false,
      objectiveMs: 400,
      timeoutMs: 800,
      deadlineMs: 800,
      workMs: 94,
      perSecond: 249,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'lookup',
      service: 'tax',
      rank: 1,
      repeatable: true,
      objectiveMs: 250,
      timeoutMs: 1_000,
      deadlineMs: 1_000,
      workMs: 54,
      perSecond: 263,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'residual',
      service: 'offers',
      rank: 1,
      repeatable: true,
      objectiveMs: 1_000,
      timeoutMs: 2_500,
      deadlineMs: 2_500,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'check', times: 1 }],
    }),
    simRoute({
      name: 'check',
      service: 'credit',
      rank: 1,
      repeatable: true,
      objectiveMs: 800,
      timeoutMs: 2_000,
      deadlineMs: 2_000,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'tax', times: 4 }],
    }),
    simRoute({
      name: 'tax',
      service: 'tax',
      rank: 1,
      repeatable: true,
      objectiveMs: 300,
      timeoutMs: 700,
      deadlineMs: 700,
      workMs: 40,
      perSecond: 0,
      nested: NO_CALLS,
    }),
  ],
};
