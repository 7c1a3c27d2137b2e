/**
 * The rule by which a leader of control grants an ingress a part of what a group may run in a window. Asked by
 * {@link QuotaLedger} for each group of each report; all amounts are requests in a window.
 *
 * Owns nothing; pure.
 */
import { committedOf, type Commitment, type GroupTotals } from './commitments.js';
import { QUOTA_LEASE_MS, type GroupUse } from './quota-messages.js';

/**
 * An ingress gets at least this many requests more than it was offered: demand may rise before it asks again.
 */
const MIN_SPARE = 1;
/**
 * An ingress that has been offered few requests gets up to this many more, and up to twice what it was offered.
 */
const START_SPARE = 2;
/**
 * More than a limit that is offered, as a part of it, from which the limit is divided; below, whoever runs short first
 * gets what is left, which wastes less of it: docs/design/shifted-work.md has the whole rule beside
 * three others.
 */
const OVERLOAD_RATIO = 1.1;
/**
 * Part of a limit that is divided where more is offered; the rest is for ingresses that begin to be offered requests. Not
 * measured by itself.
 */
const OVERLOAD_GRANTED_FRACTION = 0.95;

/** What decides a grant. */
export interface GrantInputs {
  /** Of the ingress and the group. */
  readonly commitment: Commitment;
  /** Of the group, this ingress included. */
  readonly totals: GroupTotals;
  /** Requests in a window that may be handed out to all ingresses. */
  readonly limit: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Milliseconds since which every grant is known to this replica. */
  readonly knownForMs: number;
  /** Whether the ingress began empty, and which part of all did; asked only while grants of an earlier leader may hold. */
  readonly isFresh: boolean;
  readonly freshPart: () => number;
}

/** Requests that the ingress may let run in a window, a whole number: a fraction would be taken from others for nothing. */
export function allowanceOf(inputs: GrantInputs): number {
  const { commitment, totals, limit } = inputs;
  const free = Math.max(0, limit - (totals.committed - committedOf(commitment)));
  const most = Math.min(free, maxWhileGrantsUnknown(inputs));
  return Math.floor(Math.min(most, desiredAllowance(commitment.use, totals.offered, limit)));
}

/**
 * Until every grant of an earlier leader has ended, or was heard of, ingresses keep at most what they have: a leader that
 * began empty gave out what others held that were cut off, up to 1.12 times the bound in the simulation. What ingresses
 * held that have begun empty as well is void, and is given out again once what they ran has left every window: after a
 * loss of all power nothing ran for 8 s otherwise. Given out sooner, 1.35 times the bound ran under a surge.
 */
function maxWhileGrantsUnknown(inputs: GrantInputs): number {
  const { commitment, totals, limit, windowMs, knownForMs, isFresh, freshPart } = inputs;
  if (knownForMs >= QUOTA_LEASE_MS + windowMs) return Infinity;
  if (!isFresh || knownForMs < windowMs) return commitment.use.held;
  const given = totals.committedToFresh - committedOf(commitment);
  return Math.max(0, limit * freshPart() - given);
}

/**
 * What an ingress is to have. While all together stay within the limit: what it was offered, and of what is left a part that
 * shrinks as the limit comes near, so that more remains for whoever runs short. Beyond the limit: a part of it as large as
 * its part of what is offered.
 */
function desiredAllowance(
  { offered, used }: GroupUse,
  offeredToAll: number,
  limit: number,
): number {
  if (offered === 0 && used === 0) return 0;
  const part = offered / Math.max(1, offeredToAll);
  if (offeredToAll > OVERLOAD_RATIO * limit) return limit * OVERLOAD_GRANTED_FRACTION * part;
  const left = Math.max(0, limit - offeredToAll);
  const spare = (left / limit) * left * part;
  return offered + Math.max(MIN_SPARE, Math.min(spare, offered + START_SPARE));
}
