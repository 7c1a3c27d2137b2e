/** Computes the congestion level that a gate reports with each outcome. Pure. */
import type { KindLimitServices } from './call-kind-limit.js';

/**
 * Combines the congestion of the gate's own queue with that of the calls downstream.
 *
 * The queue counts for nested calls only: refusing one loses the work that its caller has already
 * done. A client request that is refused here has cost nothing yet, so it need not be refused any
 * earlier.
 *
 * A nested call reports the downstream level in full if its kind is delayed by it at all. If each
 * gate along a chain scaled the level, little of it would reach the processes that can refuse
 * early. It is scaled once, at the gate of the client's request.
 *
 * @param queueLevel fraction of the calls of this importance, 0 to 1, that wait long or are refused
 */
export function reportedCongestion(
  { downstreamLevel, kindImpact }: KindLimitServices,
  kind: string,
  isNested: boolean,
  queueLevel: number,
): number {
  const impact = kindImpact.impactOn(kind);
  const level = downstreamLevel();
  if (!isNested) return impact * level;
  return Math.max(queueLevel, impact > 0 ? level : 0);
}
