/**
 * Selects the subset of a service's endpoints that one caller uses: those with the highest rendezvous hash of
 * (caller, endpoint). This bounds the number of connections, spreads the callers evenly over the endpoints, and changes few
 * subsets when an endpoint is added or removed.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { EndpointRecord } from '../call/endpoint.js';

/**
 * Largest number of endpoints in a subset. Larger subsets need more connections, smaller ones leave less choice. A process has
 * at most 960 links at 120 services.
 */
export const SUBSET_SIZE = 8;

/**
 * Returns the fraction of all callers that have a given endpoint in their subset, 0 to 1.
 * @param endpoints number of endpoints of the service
 */
export function callerFraction(endpoints: number): number {
  return Math.min(1, SUBSET_SIZE / Math.max(1, endpoints));
}

/**
 * Selects the subset. If the caller's zone has enough endpoints, at least half of the subset comes from that zone.
 * @param size number of endpoints in the subset
 */
export function chooseSubset(
  callerId: string,
  callerZone: string,
  endpoints: readonly EndpointRecord[],
  size = SUBSET_SIZE,
): EndpointRecord[] {
  if (endpoints.length <= size) return [...endpoints];
  const ranked = endpoints
    .map((endpoint) => ({ endpoint, score: rendezvousScore(callerId, endpoint.id) }))
    .sort((a, b) => b.score - a.score || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .map((entry) => entry.endpoint);
  const local = ranked.filter((endpoint) => endpoint.zone === callerZone);
  const chosen = local.slice(0, Math.ceil(size / 2));
  for (const endpoint of ranked) {
    if (chosen.length >= size) break;
    if (!chosen.includes(endpoint)) chosen.push(endpoint);
  }
  return chosen;
}
