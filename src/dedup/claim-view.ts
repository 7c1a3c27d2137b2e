/**
 * Which nodes of a service keep its claims of idempotency keys. Views are declared by control through
 * the replicated store, so all processes see the same ones in the same order (by epoch). A claim
 * counts only within one epoch. Pure; relies on rendezvous hashing alone.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { ClaimViewResource } from '../policy/resource-schema.js';

export type ClaimView = ClaimViewResource;
/** A node in a view. `incarnation` is that of its process when the view was declared. */
export type ClaimMember = ClaimView['spec']['members'][number];

/** Nodes that keep each claim: with three, one may be lost. */
export const CLAIM_REPLICAS = 3;

/** How many of a key's replicas must agree. */
export function claimQuorum(replicas: number): number {
  return Math.floor(replicas / 2) + 1;
}

/**
 * The nodes that keep the claims of a key: the highest rendezvous hashes, from different zones as
 * long as there are any, so that the loss of a zone takes one of them.
 */
export function replicasOf(members: readonly ClaimMember[], key: string): ClaimMember[] {
  const ranked = members
    .map((member) => ({ member, score: rendezvousScore(key, member.id) }))
    .sort((a, b) => b.score - a.score || (a.member.id < b.member.id ? -1 : 1))
    .map((entry) => entry.member);
  const chosen: ClaimMember[] = [];
  const zones = new Set<string>();
  for (const member of ranked) {
    if (chosen.length === CLAIM_REPLICAS) break;
    if (zones.has(member.zone)) continue;
    zones.add(member.zone);
    chosen.push(member);
  }
  for (const member of ranked) {
    if (chosen.length === CLAIM_REPLICAS) break;
    if (!chosen.includes(member)) chosen.push(member);
  }
  return chosen;
}
