/**
 * Computes every `Retry-After` value, in seconds. There is one function or constant for each cause of a refusal. The ingress
 * then replaces the value by one that is based on the objective of the route ({@link clientRetryAfterSeconds}).
 */
import type { RandomSource } from '../common/random.js';
import { MS_PER_SECOND } from '../common/units.js';
import type { Refusal, RefusalReason } from './refusal.js';

/** No `Retry-After`: a retry would not help, or the request may have run. */
export const NO_RETRY_AFTER = 0;

/** After a short-lived failure: a broken connection, a target that is leaving, a policy that is not loaded yet. */
export const SHORT_RETRY_SECONDS = 1;

/** After a request was quarantined: the duration of its first quarantine. */
export const QUARANTINED_SECONDS = 600;

/** Maximum after an overload. */
const MAX_OVERLOAD_SECONDS = 10;

/** Mean value if the configuration may be outdated: about the time that the election of a new leader takes. */
const STALE_CONFIGURATION_SECONDS = 2;

/** Value if control has not granted the group any quota: about the time that the election of a new leader takes. */
const NO_GRANT_SECONDS = 2;

/** Minimum for a rate-limited group: about one round trip to control. */
const MIN_RATE_LIMITED_SECONDS = 0.2;

/**
 * Mean delay of a client's retry as a fraction of the objective: short enough for the retry to meet the objective, long
 * enough for the queues of the gates to empty. The jitter keeps requests that were refused together from retrying together.
 */
const CLIENT_OBJECTIVE_FRACTION = 0.25;
const CLIENT_JITTER = 0.5;

/** Reasons whose delay is exact: an earlier retry would be refused again. */
const EXACT_REASONS: ReadonlySet<RefusalReason> = new Set(['quarantined', 'rate-limited']);

/** Decimal places of a fractional `Retry-After`, that is, milliseconds. */
const DECIMALS = 3;

/**
 * For a call that the throttle of the calling process refused.
 * @param pressure ratio of wanted calls to sent calls, at least 1
 */
export function throttledSeconds(pressure: number): number {
  return Math.min(MAX_OVERLOAD_SECONDS, Math.ceil(pressure));
}

/**
 * For a call that a gate did not admit. Grows with the pressure, with jitter so that callers do not retry at the same time.
 * @param pressure recent ratio of offered calls to admitted calls
 */
export function notAdmittedSeconds(pressure: number, random: RandomSource): number {
  return 1 + random.nextInt(throttledSeconds(pressure));
}

/** For a request that a stopping process refused: a replacement should be ready by then. */
export function stoppingSeconds(drainTimeLeftMs: number): number {
  return SHORT_RETRY_SECONDS + drainTimeLeftMs / MS_PER_SECOND;
}

/** For a request with an API key while the configuration may be outdated; jitter of plus or minus 50%. */
export function staleConfigurationSeconds(random: RandomSource): number {
  return STALE_CONFIGURATION_SECONDS * (0.5 + random.next());
}

/**
 * For a request of a group that has reached its rate limit.
 * @param msToNextPermit time until the next request of the group is allowed; undefined if control has granted no quota
 */
export function rateLimitedSeconds(msToNextPermit: number | undefined): number {
  if (msToNextPermit === undefined) return NO_GRANT_SECONDS;
  return Math.max(MIN_RATE_LIMITED_SECONDS, msToNextPermit / MS_PER_SECOND);
}

/**
 * For a call that was refused because all targets have reached their rate limits.
 * @param msToNextPermit time until the first of them accepts a call
 */
export function targetRateLimitSeconds(msToNextPermit: number): number {
  return Math.max(MIN_RATE_LIMITED_SECONDS, msToNextPermit / MS_PER_SECOND);
}

/**
 * For a client's request whose route is known: replaces the value of `refusal` by a fraction of the objective, except where
 * that value is exact, a minimum, or there is none.
 * @param objectiveMs latency objective of the route, in milliseconds
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
  // Spread over as long again, so that the requests refused until then don't return together.
  if (refusal.reason === 'target-rate-limit') {
    return refusal.retryAfterSeconds * (1 + random.next());
  }
  const factor = 1 - CLIENT_JITTER + 2 * CLIENT_JITTER * random.next();
  return (objectiveMs * CLIENT_OBJECTIVE_FRACTION * factor) / MS_PER_SECOND;
}

/**
 * Rounds seconds for the `Retry-After` header.
 * @param isFractional whether the client accepts fractions; RFC 9110 only allows whole seconds
 */
export function headerSeconds(seconds: number, isFractional: boolean): number {
  return isFractional ? Number(seconds.toFixed(DECIMALS)) : Math.ceil(seconds);
}
