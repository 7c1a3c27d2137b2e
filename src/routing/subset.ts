/**
 * The endpoints of a service that one caller uses. Each caller takes those with the highest
 * rendezvous hash of (caller, endpoint), so that connections stay bounded, load spreads evenly over
 * callers, and a change of one endpoint moves few callers. Pure.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { EndpointRecord } from '../call/endpoint.js';

/**
 * Endpoints of one service that a caller holds connections to. More of them mean more connections a process (at most 960
 * links at 120 services, by reckoning), fewer leave less choice.
 */
const SUBSET_SIZE = 8;

/** Part of all callers that have one endpoint of a service in their subset. @param endpoints of the service */
export function callingPart(endpoints: number): number {
  return Math.min(1, SUBSET_SIZE / Math.max(1, endpoints));
}

/**
 * Picks the subset. Half of it, at least, comes from the caller's own zone when that zone has
 * enough endpoints, so that calls can stay there.
 */
export function chooseSubset(
  callerId: string,
  callerZone: string,
  endpoints: readonly EndpointRecord[],
): EndpointRecord[] {
  if (endpoints.length <= SUBSET_SIZE) return [...endpoints];
  const ranked = endpoints
    .map((endpoint) => ({ endpoint, score: rendezvousScore(callerId, endpoint.id) }))
    .sort((a, b) => b.score - a.score || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .map((entry) => entry.endpoint);
  const local = ranked.filter((endpoint) => endpoint.zone === callerZone);
  const chosen = local.slice(0, Math.ceil(SUBSET_SIZE / 2));
  for (const endpoint of ranked) {
    if (chosen.length >= SUBSET_SIZE) break;
    if (!chosen.includes(endpoint)) chosen.push(endpoint);
  }
  return chosen;
}
