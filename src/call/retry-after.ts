/**
 * When a refused caller is told to come again: every `Retry-After` of the product is decided here, in seconds. The places
 * that refuse name the situation; only the ingress, which knows the route's objective, changes what others have decided
 * (see {@link clientRetryAfterSeconds}). Pure: the random source is passed in.
 *
 * Relies on callers that honour `Retry-After`; nothing here is held against those that do not.
 */
import type { RandomSource } from '../common/random.js';
import { MS_PER_SECOND } from '../common/units.js';
import type { Refusal, RefusalReason } from './refusal.js';

/** No `Retry-After`: coming again does not help, or the request may have run. */
export const NO_RETRY_AFTER = 0;

/** After a fault that passes soon: a connection that broke, a target that leaves, no policy yet. In seconds. */
export const SOON_SECONDS = 1;

/** After a request under which targets crash: the first term of its quarantine, in seconds. */
export const QUARANTINED_SECONDS = 600;

/** Longest time told for an overload, in seconds. */
const MAX_OVERLOAD_SECONDS = 10;

/** Mean time told where the configuration may be old, in seconds: a lost leader is followed by another within 1 to 3 s. */
const STALE_CONFIGURATION_SECONDS = 2;

/** Time told where control has granted a group nothing, in seconds: the same wait for a leader. */
const NO_GRANT_SECONDS = 2;

/** Least time told at a group's rate, in seconds: about an answer of control. */
const MIN_RATE_LIMITED_SECONDS = 0.2;

/**
 * Mean part of its objective after which a refused request is to come again, and how far it spreads around that, so that
 * requests refused together do not return together. Early enough to be answered within the objective then, and late
 * enough for what waits at gates now to be gone. docs/design/platform.md gives what 0.1 to 0.5 were worth in the simulation.
 */
const CLIENT_OBJECTIVE_FRACTION = 0.25;
const CLIENT_JITTER = 0.5;

/** Refusals that say themselves when the request may run: sooner it would be refused again. */
const EXACT_REASONS: ReadonlySet<RefusalReason> = new Set(['quarantined', 'rate-limited']);

/** Decimals of a fractional `Retry-After`: milliseconds are as fine as clients can keep to. */
const DECIMALS = 3;

/**
 * For a caller whose own process refuses what callees would refuse.
 * @param pressure calls wanted for each call sent, at least 1
 */
export function throttledSeconds(pressure: number): number {
  return Math.min(MAX_OVERLOAD_SECONDS, Math.ceil(pressure));
}

/**
 * For a call that a gate could not let in: the more is offered for each call let in the later, and spread, so that callers
 * do not come back together.
 * @param pressure calls offered lately for each call let in
 */
export function notAdmittedSeconds(pressure: number, random: RandomSource): number {
  return 1 + random.below(throttledSeconds(pressure));
}

/** For a request that a process about to end refuses: another one should be in its place by then. */
export function stoppingSeconds(drainTimeLeftMs: number): number {
  return SOON_SECONDS + drainTimeLeftMs / MS_PER_SECOND;
}

/** For a request with a key where control has not confirmed the configuration; spread over half to one and a half times. */
export function staleConfigurationSeconds(random: RandomSource): number {
  return STALE_CONFIGURATION_SECONDS * (0.5 + random.next());
}

/**
 * For a request of a group that is at its rate.
 * @param msToNextPermit time until a request of the group leaves the window; undefined where control has granted nothing
 */
export function rateLimitedSeconds(msToNextPermit: number | undefined): number {
  if (msToNextPermit === undefined) return NO_GRANT_SECONDS;
  return Math.max(MIN_RATE_LIMITED_SECONDS, msToNextPermit / MS_PER_SECOND);
}

/**
 * For a client's request, once its route is known: a part of the objective in place of what was decided elsewhere.
 * @param objectiveMs time within which an answer is of full use, in milliseconds
 */
export function clientRetryAfterSeconds(
  objectiveMs: number,
  refusal: Refusal,
  random: RandomSource,
): number {
  if (refusal.verdict !== 'not-run' || refusal.retryAfterSeconds === NO_RETRY_AFTER) {
    return NO_RETRY_AFTER;
  }
  if (EXACT_REASONS.has(refusal.reason)) return refusal.retryAfterSeconds;
  const factor = 1 - CLIENT_JITTER + 2 * CLIENT_JITTER * random.next();
  return (objectiveMs * CLIENT_OBJECTIVE_FRACTION * factor) / MS_PER_SECOND;
}

/** Seconds as the client can read them. @param isFractional false for whole seconds, as RFC 9110 has them */
export function headerSeconds(seconds: number, isFractional: boolean): number {
  return isFractional ? Number(seconds.toFixed(DECIMALS)) : Math.ceil(seconds);
}
