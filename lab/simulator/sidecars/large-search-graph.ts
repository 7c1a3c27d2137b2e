/**
 * A search deployment of 195 machines whose least important route fans out: each search makes two calls that
 * each lead to five lookups at the last service of the chain. The chain takes most of the route's objective
 * even without queueing.
 */
import { simRoute, type CallGraph } from './call-graph.js';
import { nestedSearchRoutes } from './nested-search-routes.js';

const NO_CALLS = [] as const;
/** Processing time of a lookup at the ranker. */
const LOOKUP_MS = 140;

export const LARGE_SEARCH_GRAPH: CallGraph = {
  zones: 6,
  services: [
    { name: 'query-api', targets: 95, slots: 50, workFactors: [2, 1, 1, 0.67] },
    { name: 'registry', targets: 68, slots: 50, workFactors: [2, 1, 1, 0.67] },
    { name: 'bundler', targets: 19, slots: 97, workFactors: [1.43, 1.43, 0.63] },
    { name: 'ranker', targets: 13, slots: 151, workFactors: [1.67, 1, 0.71] },
  ],
  routes: [
    simRoute({
      name: 'code-query',
      service: 'query-api',
      rank: 2,
      repeatable: true,
      objectiveMs: 2_500,
      timeoutMs: 4_000,
      deadlineMs: 6_000,
      workMs: 550,
      perSecond: 980,
      nested: [{ route: 'provenance-check', times: 2 }],
    }),
    simRoute({
      name: 'repo-register',
      service: 'registry',
      rank: 0,
      repeatable: false,
      objectiveMs: 3_000,
      timeoutMs: 5_000,
      deadlineMs: 6_000,
      workMs: 710,
      perSecond: 402,
      nested: [{ route: 'bundle-manifest', times: 1 }],
    }),
    simRoute({
      name: 'source-bundle',
      service: 'bundler',
      rank: 2,
      repeatable: true,
      objectiveMs: 2_000,
      timeoutMs: 8_000,
      deadlineMs: 8_000,
      workMs: 440,
      perSecond: 134,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'ranked-search',
      service: 'ranker',
      rank: 1,
      repeatable: true,
      objectiveMs: 800,
      timeoutMs: 2_000,
      deadlineMs: 4_000,
      workMs: 220,
      perSecond: 332,
      nested: NO_CALLS,
    }),
    ...nestedSearchRoutes(LOOKUP_MS),
  ],
};
