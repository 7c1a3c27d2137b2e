/**
 * Counts the arrivals of requests at each service and compares the repeated ones with a retry budget over a
 * sliding window. A call made by a repeated run counts as a repeat at the called service.
 */

/** Limit on the repeated arrivals at a service. */
export interface ArrivalBound {
  /** Repeats allowed per request, 0 to 1. */
  readonly ratio: number;
  /** Additional repeats allowed per window over all targets of the service. */
  readonly slack: number;
  readonly windowMs: number;
}

/** The window in which the repeats at a service exceed the allowed number by the most. */
export interface WorstWindow {
  readonly service: string;
  readonly startMs: number;
  readonly repeats: number;
  readonly requests: number;
  readonly allowed: number;
}

interface ServiceArrivals {
  /** Counts indexed by time step. */
  readonly requests: number[];
  readonly repeats: number[];
}

/** Windows start at multiples of this step. */
const STEP_MS = 250;

export class ArrivalLedger {
  private readonly services = new Map<string, ServiceArrivals>();

  /** Counts a request to `service` that was not sent by a repeated run, whether or not it arrives. */
  onRequest(service: string, now: number): void {
    increment(this.arrivals(service).requests, now);
  }

  /** Counts an arrival that repeats an earlier one, or that was sent by a repeated run. */
  onRepeat(service: string, now: number): void {
    increment(this.arrivals(service).repeats, now);
  }

  /** Returns the window with the largest excess over `bound` among all services. */
  worstWindow(bound: ArrivalBound): WorstWindow {
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
    // Repeats lag behind their requests, so the window is also compared with earlier requests.
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
