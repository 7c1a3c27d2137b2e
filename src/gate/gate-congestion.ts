/** The congestion level that a gate reports with each outcome. Pure. */
import type { KindLimitServices } from './kind-use.js';

/**
 * The level of what waits here and downstream. What waits here concerns
 * those that work is lost with: callers of nested calls. A client's request that is refused here has
 * cost nothing yet, so it need not be refused any earlier.
 *
 * A call that a target made passes the downstream level on in full if it is delayed by it at all: weighed at each
 * of several gates the level would be gone before it reaches those that can refuse early. It is weighed
 * once, at the gate of the client's request.
 *
 * @param queueLevel part of the calls of this importance that wait long or are refused here, 0 to 1
 */
export function reportedCongestion(
  { downstreamLevel, kindImpact }: KindLimitServices,
  kind: string,
  isNested: boolean,
  queueLevel: number,
): number {
  const impact = kindImpact.of(kind);
  const level = downstreamLevel();
  if (!isNested) return impact * level;
  return Math.max(queueLevel, impact > 0 ? level : 0);
}
