/**
 * How long clients have waited in earlier attempts of their own. Nothing in a request says so, but a client that comes back
 * gives less time than it gave at first: first attempts of a route come again and again with the same few times, later ones
 * with what is left of them. Asked by the ingress for each request, so that gates can let those in first that can still be
 * answered within their objective.
 *
 * Owns the times that requests of each route often come with. Pure. Relies on clients that give the time which they will
 * wait; one that has a time of its own counts as having waited until it has come a few times.
 */
import { BoundedMap } from '../common/bounded-map.js';

/** Times told apart, in milliseconds: clients may reckon what is left anew for the same attempt. */
const RESOLUTION_MS = 10;
/** Times that are counted at once of a route: of any given by more than a ninth of the requests some are counted. */
const MAX_TRACKED_TIMEOUTS = 8;
/** Requests with the same time from which it counts as one that clients give at first. */
const MIN_OCCURRENCES = 3;
/** Requests of a route at which counts are halved, so that the times follow the clients. */
const HALVE_COUNTS_AT = 1_000;
/** Routes that are remembered, a bound on memory; routes come and go with the configuration. */
const MAX_ROUTES = 1_000;

/** The times of one route. */
interface RouteTimeouts {
  requests: number;
  /** Requests by the time that they came with, in units of the resolution. */
  readonly counts: Map<number, number>;
}

export class ClientWaits {
  private readonly routes = new BoundedMap<RouteTimeouts>(MAX_ROUTES);

  /**
   * Learns of a request.
   * @param timeoutMs time for which the client will wait, in milliseconds; undefined where it does not say
   * @returns milliseconds that the client has waited before; 0 for a first attempt, and where it can't be told
   */
  waitedMs(route: string, timeoutMs: number | undefined): number {
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

/** Counts a value among the frequent ones (Misra and Gries): a new one that finds no place takes one off each of them. */
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

/** The value that most requests came with; undefined where none has come often enough. */
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
