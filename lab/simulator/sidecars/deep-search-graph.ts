/**
 * A search deployment whose least important route fans out: each search makes two calls that each lead to
 * five lookups at the last service of the chain, which important requests need as well.
 */
import { simRoute, type CallGraph } from './call-graph.js';
import { nestedSearchRoutes } from './nested-search-routes.js';

const NO_CALLS = [] as const;
/** Processing time of a lookup at the ranker. */
const LOOKUP_MS = 64;

export const DEEP_SEARCH_GRAPH: CallGraph = {
  services: [
    { name: 'query-api', targets: 6, slots: 67, workFactors: [0.7, 0.7, 1.6] },
    { name: 'registry', targets: 4, slots: 76, workFactors: [0.6, 1, 1.4] },
    { name: 'bundler', targets: 2, slots: 140, workFactors: [0.8, 1.2] },
    { name: 'ranker', targets: 4, slots: 41, workFactors: [0.5, 1, 1, 1.5] },
  ],
  routes: [
    simRoute({
      name: 'code-query',
      service: 'query-api',
      rank: 2,
      repeatable: true,
      objectiveMs: 2_000,
      timeoutMs: 1_500,
      deadlineMs: 6_000,
      workMs: 250,
      perSecond: 163,
      nested: [{ route: 'provenance-check', times: 2 }],
    }),
    simRoute({
      name: 'repo-register',
      service: 'registry',
      rank: 0,
      repeatable: false,
      objectiveMs: 2_000,
      timeoutMs: 2_000,
      deadlineMs: 6_000,
      workMs: 330,
      perSecond: 67,
      nested: [{ route: 'bundle-manifest', times: 1 }],
    }),
    simRoute({
      name: 'source-bundle',
      service: 'bundler',
      rank: 2,
      repeatable: true,
      objectiveMs: 800,
      timeoutMs: 4_000,
      deadlineMs: 4_000,
      workMs: 200,
      perSecond: 22,
      nested: NO_CALLS,
    }),
    simRoute({
      name: 'ranked-search',
      service: 'ranker',
      rank: 1,
      repeatable: true,
      objectiveMs: 400,
      timeoutMs: 800,
      deadlineMs: 1_500,
      workMs: 100,
      perSecond: 55,
      nested: NO_CALLS,
    }),
    ...nestedSearchRoutes(LOOKUP_MS),
  ],
};
