/**
 * Leaves out targets at which notably more runs go unserved than at others, as their gates report (gate/unserved-runs.ts). A
 * lost answer costs a call that must not run twice, and a repeat of any other. Does nothing while no target stands out, or if
 * none of the others has room. Asked for each attempt, before the choice among the candidates (target-choice.ts).
 */
import type { Candidate, CostContext } from './target-choice.js';

/** Difference to the least share of unserved runs above which a target is left out. */
const MAX_SHARE_DIFFERENCE = 0.15;

/** Occupancy from which the other targets have no room for the calls of those that are left out. */
const FULL_OCCUPANCY = 0.75;

/** A candidate whose gate reports unserved runs. */
export interface ReportingCandidate extends Candidate {
  /** Share of its runs that go unserved, 0 to 1; a report counts less the older it is, and sooner if `isRepeatable`. */
  unservedShare(now: number, isRepeatable: boolean): number;
}

/** Returns the candidates to choose from: all of them if none stands out, or if no better one has room. */
export function selectReliable<T extends ReportingCandidate>(
  candidates: readonly T[],
  isRepeatable: boolean,
  context: CostContext,
): readonly T[] {
  const shares = candidates.map((candidate) => candidate.unservedShare(context.now, isRepeatable));
  const bound = Math.min(...shares) + MAX_SHARE_DIFFERENCE;
  if (shares.every((share) => share < bound)) return candidates;
  const reliable = candidates.filter((_, index) => shares[index]! < bound);
  const hasRoom = reliable.some((candidate) => candidate.occupancy(context) < FULL_OCCUPANCY);
  return hasRoom ? reliable : candidates;
}
