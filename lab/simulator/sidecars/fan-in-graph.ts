/**
 * An order deployment in which two routes of different importance lead, over two services each, to many small
 * lookups at one service that a third route needs as well. At twice the load, the lookups take all slots of
 * that service.
 */
import { simRoute, type CallGraph } from './call-graph.js';

const NO_CALLS = [] as const;

export const FAN_IN_GRAPH: CallGraph = {
  services: [
    { name: 'catalogue', targets: 5, slots: 89, workFactors: [2, 1, 1, 0.67] },
    { name: 'orders', targets: 4, slots: 112, workFactors: [2, 1, 1, 0.67] },
    { name: 'proofs', targets: 3, slots: 149, workFactors: [2, 1, 0.67] },
    { name: 'stock', targets: 3, slots: 20, workFactors: [1.43, 1.43, 0.63] },
  ],
  routes: [
    simRoute({
      name: 'browse',
      service: 'catalogue',
      rank: 2,
      repeatable: true,
      objectiveMs: 1_200,
      timeoutMs: 5_000,
      deadlineMs: 5_000,
      workMs: 90,
      perSecond: 196,
      nested: [{ route: 'order-status', times: 1 }],
    }),
    simRoute({
      name: 'order',
      service: 'orders',
      rank: 0,
      repeatable: false,
      objectiveMs: 1_500,
      timeoutMs: 800,
      deadlineMs: 5_000,
      workMs: 120,
      perSecond: 82.5,
      nested: [{ route: 'proof-details', times: 2 }],
      nestedInParallel: true,
    }),
    simRoute({
      name: 'proof-download',
      service: 'proofs',
      rank: 2,
      repeatable: true,
      objectiveMs: 300,
      timeoutMs: 1_200,
      deadlineMs: 1_200,
      workMs: 72,
      perSecond: 29.8,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'reprint',
      service: 'stock',
      rank: 2,
      repeatable: false,
      objectiveMs: 250,
      timeoutMs: 1_000,
      deadlineMs: 1_000,
      workMs: 72,
      perSecond: 22.4,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'order-status',
      service: 'orders',
      rank: 1,
      repeatable: true,
      objectiveMs: 1_000,
      timeoutMs: 2_500,
      deadlineMs: 2_500,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'proof-details', times: 1 }],
    }),
    simRoute({
      name: 'proof-details',
      service: 'proofs',
      rank: 1,
      repeatable: true,
      objectiveMs: 800,
      timeoutMs: 2_000,
      deadlineMs: 2_000,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'stock-check', times: 4 }],
    }),
    simRoute({
      name: 'stock-check',
      service: 'stock',
      rank: 1,
      repeatable: true,
      objectiveMs: 300,
      timeoutMs: 700,
      deadlineMs: 700,
      workMs: 22,
      perSecond: 0,
      nested: NO_CALLS,
    }),
  ],
};
