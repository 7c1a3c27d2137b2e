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
  /** Requests per window that may be committed to all ingresses now; at most the limit. */
  readonly ceiling: number;
  /** Requests per window that earlier leaders may have committed; at most the limit. */
  readonly inherited: number;
  /** Time since this replica began to record grants, in milliseconds. */
  readonly knownForMs: number;
  /** Whether some ingress that may hold a grant of an earlier leader has not reported since. */
  readonly hasSilentIngress: boolean;
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
  const { commitment, totals, limit, ceiling } = inputs;
  const free = Math.max(0, ceiling - (totals.committed - committedOf(commitment)));
  const most = Math.min(free, maxWhileGrantsUnknown(inputs));
  const desired = desiredAllowance(inputs);
  if (totals.offered <= OVERLOAD_RATIO * limit) return Math.floor(Math.min(most, desired));
  const freeForUrgent = free - (1 - URGENT_GRANTED_FRACTION) * limit;
  const urgent = Math.min(freeForUrgent, urgentAllowance(commitment.use));
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
 * A later leader knows the grants of its predecessor from reports, except for the last ones to an ingress that has been silent
 * since. Together with those that are known, these are at most the inherited ceiling.
 *
 * Fresh ingresses get what earlier leaders cannot have committed at once. Their own former grants are void, so their share of
 * the limit is granted anew after one window, when the requests from before their restart no longer count. Otherwise all
 * requests would be refused for longer after a full restart.
 */
function maxWhileGrantsUnknown(inputs: GrantInputs): number {
  const { commitment, totals, limit, inherited, windowMs, knownForMs } = inputs;
  const { isFresh, hasSilentIngress } = inputs;
  const { held } = commitment.use;
  const unreserved = limit - inherited;
  if (knownForMs >= QUOTA_LEASE_MS + windowMs) {
    if (!hasSilentIngress) return Infinity;
    return Math.max(held, unreserved - (totals.committed - committedOf(commitment)));
  }
  if (!isFresh) return held;
  const given = totals.committedToFresh - committedOf(commitment);
  if (knownForMs < windowMs || hasSilentIngress) return Math.max(held, unreserved - given);
  return Math.max(0, Math.max(unreserved, limit * inputs.freshPart()) - given);
}

/**
 * Returns the allowance that an ingress should have. Up to the overload ratio: its offered requests plus a spare that
 * shrinks as total demand approaches the ceiling. Above: a share of the limit in proportion to its offered requests.
 */
function desiredAllowance({ commitment, totals, limit, ceiling }: GrantInputs): number {
  const { offered, used } = commitment.use;
  const offeredToAll = totals.offered;
  if (offered === 0 && used === 0) return 0;
  const part = offered / Math.max(1, offeredToAll);
  if (offeredToAll > OVERLOAD_RATIO * limit) return limit * OVERLOAD_GRANTED_FRACTION * part;
  const left = Math.max(0, ceiling - offeredToAll);
  const spare = (left / ceiling) * left * part;
  return offered + Math.max(MIN_SPARE, Math.min(spare, offered + START_SPARE));
}

/**
 * Returns the allowance with which the urgent requests that wait at an ingress may run: they are few, and where they arrive
 * varies more than the shares do.
 */
function urgentAllowance({ used, waiting = 0 }: GroupUse): number {
  return waiting > 0 ? used + waiting : 0;
}
