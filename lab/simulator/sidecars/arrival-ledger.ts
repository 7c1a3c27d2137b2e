/**
 * Counts what arrives at the targets of each service, and compares the arrivals beyond the first of each
 * request with a retry budget over a sliding window. A call made by a run that was itself a repeat counts
 * as a repeat at the service called.
 */

/** How many arrivals beyond the first a service may see. */
export interface ArrivalBound {
  /** Repeats allowed for each request, 0 to 1. */
  readonly ratio: number;
  /** Repeats allowed besides, over the whole fleet. */
  readonly slack: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
}

/** The window of a service in which its repeats are highest against what is allowed. */
export interface WorstWindow {
  readonly service: string;
  readonly startMs: number;
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

interface ServiceArrivals {
  /** By step of time. */
  readonly requests: number[];
  readonly repeats: number[];
}

/** Windows begin at multiples of this, in milliseconds. */
const STEP_MS = 250;

export class ArrivalLedger {
  private readonly services = new Map<string, ServiceArrivals>();

  /** A request for `service` was sent that no repeated run has made, whether or not it arrives. */
  onRequest(service: string, now: number): void {
    increment(this.arrivals(service).requests, now);
  }

  /** A request arrived at a target again, or was made by a run that was itself a repeat. */
  onRepeat(service: string, now: number): void {
    increment(this.arrivals(service).repeats, now);
  }

  /** The worst window of all services. */
  worst(bound: ArrivalBound): WorstWindow {
    const windows = [...this.services].flatMap(([service, arrivals]) =>
      windowsOf(service, arrivals, bound),
    );
    return windows.reduce((worst, each) => (excess(each) > excess(worst) ? each : worst));
  }

  private arrivals(service: string): ServiceArrivals {
    const existing = this.services.get(service);
    if (existing !== undefined) return existing;
    const created = { requests: [], repeats: [] };
    this.services.set(service, created);
    return created;
  }
}

function excess({ repeats, allowed }: WorstWindow): number {
  return repeats - allowed;
}

function increment(counts: number[], now: number): void {
  const step = Math.floor(now / STEP_MS);
  while (counts.length <= step) counts.push(0);
  counts[step]! += 1;
}

function windowsOf(service: string, arrivals: ServiceArrivals, bound: ArrivalBound): WorstWindow[] {
  const steps = Math.round(bound.windowMs / STEP_MS);
  const { requests, repeats } = arrivals;
  return Array.from({ length: Math.max(requests.length, repeats.length) }, (_, start) => {
    // Repeats may follow the requests that they belong to, so a window is also held against earlier requests.
    const sent = Math.max(
      sum(requests, start, steps),
      sum(requests, start - steps / 2, steps),
      sum(requests, start - steps, steps),
    );
    return {
      service,
      startMs: start * STEP_MS,
      repeats: sum(repeats, start, steps),
      requests: sent,
      allowed: bound.ratio * sent + bound.slack,
    };
  });
}

function sum(counts: readonly number[], start: number, steps: number): number {
  let total = 0;
  for (let step = Math.max(0, start); step < start + steps; step += 1) total += counts[step] ?? 0;
  return total;
}
