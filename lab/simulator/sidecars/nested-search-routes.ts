/**
 * Routes that only the targets of a search deployment call: each check leads to a manifest, and each manifest to
 * five lookups.
 */
import { simRoute, type SimRoute } from './call-graph.js';

/** @param lookupMs processing time of a lookup */
export function nestedSearchRoutes(lookupMs: number): SimRoute[] {
  return [
    simRoute({
      name: 'provenance-check',
      service: 'registry',
      rank: 1,
      repeatable: true,
      objectiveMs: 1_200,
      timeoutMs: 3_000,
      deadlineMs: 3_000,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'bundle-manifest', times: 1 }],
    }),
    simRoute({
      name: 'bundle-manifest',
      service: 'bundler',
      rank: 1,
      repeatable: true,
      objectiveMs: 1_200,
      timeoutMs: 2_500,
      deadlineMs: 2_500,
      workMs: 15,
      perSecond: 0,
      nested: [{ route: 'symbol-lookup', times: 5 }],
    }),
    simRoute({
      name: 'symbol-lookup',
      service: 'ranker',
      rank: 1,
      repeatable: true,
      objectiveMs: 300,
      timeoutMs: 700,
      deadlineMs: 700,
      workMs: lookupMs,
      perSecond: 0,
      nested: [],
    }),
  ];
}
