/**
 * Estimates how long a client has already waited in earlier attempts of the same request, which requests do not carry.
 * First attempts of a route use a few recurring timeouts; a retry has only the rest of one. Gates use the estimate to prefer
 * requests that can still be answered within their objective.
 *
 * A client with an unusual timeout is taken for a retrying one until that timeout has occurred a few times.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Timeouts are rounded to multiples of this, in milliseconds, since clients may compute the time left with small errors. */
const RESOLUTION_MS = 10;
/** Distinct timeouts that are counted per route. Any timeout of more than a ninth of the requests is among them. */
const MAX_TRACKED_TIMEOUTS = 8;
/** Requests with the same timeout from which it counts as the timeout of first attempts. */
const MIN_OCCURRENCES = 3;
/** Requests of a route at which its counts are halved, so that the estimate follows changes of the clients. */
const HALVE_COUNTS_AT = 1_000;
/** Routes that are kept, to bound memory. */
const MAX_ROUTES = 1_000;

/** The timeouts of one route. */
interface RouteTimeouts {
  requests: number;
  /** Requests by timeout, in units of {@link RESOLUTION_MS}. */
  readonly counts: Map<number, number>;
}

export class ClientWaitEstimator {
  private readonly routes = new BoundedMap<RouteTimeouts>(MAX_ROUTES);

  /**
   * Records a request and estimates the time spent on earlier attempts.
   * @param timeoutMs timeout of the client in milliseconds; undefined if the request has none
   * @returns milliseconds that the client has waited before; 0 for a first attempt, or if unknown
   */
  estimateWaitedMs(route: string, timeoutMs: number | undefined): number {
    if (timeoutMs === undefined) return 0;
    const { counts } = this.recordTimeout(route, timeoutMs);
    if ((counts.get(toUnits(timeoutMs)) ?? 0) >= MIN_OCCURRENCES) return 0;
    const firstAttemptUnits = mostFrequent(counts);
    return firstAttemptUnits === undefined
      ? 0
      : Math.max(0, firstAttemptUnits * RESOLUTION_MS - timeoutMs);
  }

  private recordTimeout(route: string, timeoutMs: number): RouteTimeouts {
    let timeouts = this.routes.get(route);
    if (timeouts === undefined) {
      timeouts = { requests: 0, counts: new Map() };
      this.routes.set(route, timeouts);
    }
    timeouts.requests += 1;
    countFrequent(timeouts.counts, toUnits(timeoutMs));
    if (timeouts.requests >= HALVE_COUNTS_AT) halve(timeouts);
    return timeouts;
  }
}

function toUnits(timeoutMs: number): number {
  return Math.round(timeoutMs / RESOLUTION_MS);
}

/** Misra-Gries counter of frequent values: a new value that finds no free entry decrements all others. */
function countFrequent(counts: Map<number, number>, value: number): void {
  const known = counts.get(value);
  if (known !== undefined || counts.size < MAX_TRACKED_TIMEOUTS) {
    counts.set(value, (known ?? 0) + 1);
    return;
  }
  for (const [other, occurrences] of counts) {
    if (occurrences > 1) counts.set(other, occurrences - 1);
    else counts.delete(other);
  }
}

function halve(timeouts: RouteTimeouts): void {
  timeouts.requests /= 2;
  for (const [value, requests] of timeouts.counts) {
    if (requests >= 2) timeouts.counts.set(value, requests / 2);
    else timeouts.counts.delete(value);
  }
}

/** The most frequent value; undefined if none has at least {@link MIN_OCCURRENCES} requests. */
function mostFrequent(counts: ReadonlyMap<number, number>): number | undefined {
  let frequent: number | undefined;
  let most = MIN_OCCURRENCES - 1;
  for (const [value, requests] of counts) {
    if (requests <= most) continue;
    frequent = value;
    most = requests;
  }
  return frequent;
}
