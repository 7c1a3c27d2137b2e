/**
 * Computes the grant of one group to one ingress: the share of the group's limit that the ingress may run in a window. All
 * amounts are requests per window. docs/design/shifted-work.md describes the algorithm.
 */
import { committedOf, type Commitment, type GroupTotals } from './commitments.js';
import { PROJECTED_MS, QUOTA_LEASE_MS, type GroupUse } from './quota-messages.js';

/** Minimum spare on top of the offered requests, so that demand may rise before the next report. */
const MIN_SPARE = 1;
/** The spare is at most the offered requests plus this many, so that an ingress with little demand can still grow. */
const START_SPARE = 2;
/**
 * Ratio of offered requests to the limit above which the limit is divided in proportion to demand. Below, the remainder
 * goes to the ingresses that request it first, which leaves less of the limit unused.
 */
const OVERLOAD_RATIO = 1.1;
/**
 * Fraction of the limit that is divided under overload. The rest is reserved for ingresses whose demand starts later, and for
 * urgent requests that wait.
 */
const OVERLOAD_GRANTED_FRACTION = 0.95;

/** Standard deviations of a random arrival count that a projected demand must exceed the limit by. */
const PROJECTION_DEVIATIONS = 2;

/**
 * Fraction of the limit up to which urgent requests that wait get more than the share of their ingress. The rest covers
 * grants that another leader does not know.
 */
const URGENT_GRANTED_FRACTION = 0.98;

/** The limit of a group. */
export interface LimitInputs {
  /** Requests per window that may be granted to all ingresses together. */
  readonly limit: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** The inputs of {@link allowanceOf}. */
export interface GrantInputs extends LimitInputs {
  /** The current commitment for the group at the ingress. */
  readonly commitment: Commitment;
  /** The totals of the group, including this ingress. */
  readonly totals: GroupTotals;
  /** Time since this replica began to record grants, in milliseconds. */
  readonly knownForMs: number;
  /** Whether the ingress started without any grant. */
  readonly isFresh: boolean;
  /** Fraction of all ingresses that are fresh. Called only while grants of an earlier leader may still be valid. */
  readonly freshPart: () => number;
}

/**
 * Returns the requests that the ingress may run in a window, rounded down: a fraction of a request would reduce the grants
 * of others without being usable.
 */
export function allowanceOf(inputs: GrantInputs): number {
  const { commitment, totals, limit } = inputs;
  const free = Math.max(0, limit - (totals.committed - committedOf(commitment)));
  const most = Math.min(free, maxWhileGrantsUnknown(inputs));
  const { use } = commitment;
  const desired = desiredAllowance(use, totals.offered, limit);
  if (totals.offered <= OVERLOAD_RATIO * limit) return Math.floor(Math.min(most, desired));
  const freeForUrgent = free - (1 - URGENT_GRANTED_FRACTION) * limit;
  const urgent = Math.min(freeForUrgent, urgentAllowance(use));
  return Math.floor(Math.min(most, Math.max(desired, urgent)));
}

/**
 * Whether a group asks for more than its limit over all ingresses. Projected from the last second, since the requests of a
 * whole window exceed the limit only when its permits are spent already.
 */
export function isBeyondLimit({ offered, projected }: GroupTotals, inputs: LimitInputs): boolean {
  const { limit, windowMs } = inputs;
  const deviation = Math.sqrt(Math.max(0, projected) * (windowMs / PROJECTED_MS));
  const demand = Math.max(offered, projected - PROJECTION_DEVIATIONS * deviation);
  return demand > OVERLOAD_RATIO * limit;
}

/**
 * Upper bound of a grant while grants of an earlier leader may still be valid but unknown here, for example those of a
 * partitioned ingress. Until these have expired, an ingress keeps at most what it holds, so that the quota isn't exceeded.
 *
 * Former grants of fresh ingresses are void, so their share of the limit is granted anew after one window, when the requests
 * from before their restart no longer count. Otherwise all requests would be refused for longer after a full restart.
 */
function maxWhileGrantsUnknown(inputs: GrantInputs): number {
  const { commitment, totals, limit, windowMs, knownForMs, isFresh, freshPart } = inputs;
  if (knownForMs >= QUOTA_LEASE_MS + windowMs) return Infinity;
  if (!isFresh || knownForMs < windowMs) return commitment.use.held;
  const given = totals.committedToFresh - committedOf(commitment);
  return Math.max(0, limit * freshPart() - given);
}

/**
 * Returns the allowance that an ingress should have. Up to the overload ratio: its offered requests plus a spare that
 * shrinks as total demand approaches the limit. Above: a share of the limit in proportion to its offered requests.
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

/**
 * Returns the allowance with which the urgent requests that wait at an ingress may run: they are few, and where they arrive
 * varies more than the shares do.
 */
function urgentAllowance({ used, waiting = 0 }: GroupUse): number {
  return waiting > 0 ? used + waiting : 0;
}
