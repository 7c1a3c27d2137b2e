/**
 * Assignment of idempotency keys to the nodes that store their claims. Control declares views in the replicated store, so all
 * processes see the same views in the same order (by epoch). A quorum must be reached within one epoch. Pure.
 */
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { ClaimViewResource } from '../policy/resource-schema.js';

export type ClaimView = ClaimViewResource;
/** A node in a view. `incarnation` is the one at the time when the view was declared. */
export type ClaimMember = ClaimView['spec']['members'][number];

/** Number of replicas of each claim: with three, one may be lost. */
export const CLAIM_REPLICAS = 3;

/** Size of a quorum of a key's replicas. */
export function claimQuorum(replicas: number): number {
  return Math.floor(replicas / 2) + 1;
}

/**
 * Selects the replicas of a key: the members with the highest rendezvous hashes, preferring distinct zones so that the
 * loss of a zone affects as few replicas as possible.
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
