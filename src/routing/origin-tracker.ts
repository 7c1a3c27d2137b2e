/**
 * Tells calls that targets make from requests of clients. Clients are on the machines of every service, targets only on
 * their own: a route whose requests begin on the machines of a few services is one that those services call. Learned from
 * the calls that arrive, and forgotten with time, so that it follows the configuration.
 *
 * Owns the counts of one gate. Relies on clients that are spread over the machines of all services.
 */

/** Calls of a route at which its counts are halved, so that old calls fade. Not measured. */
const MAX_CALLS = 2_000;

/** Part of the calls expected from its machines below which a service is no origin: strays. Not measured. */
const MIN_PART_OF_EXPECTED = 0.1;

/** Routes with no more than this part of the services as origins are called by targets. Not measured. */
const MAX_ORIGIN_PART = 0.5;

/** With fewer services nothing can be concluded: the only one has all calls. */
const MIN_SERVICES = 2;

/**
 * Calls that clients would have made from the services without any, before their absence means something. With independent
 * calls the chance to be wrong is exp(-14), one in a million. Of 300 drawn gates none is mistaken
 * (test/routing/origin-tracker.test.ts), where a fixed number of 20 calls mistook 3.
 */
const MIN_EXPECTED_CALLS = 14;

/** Calls of a route after which a conclusion is drawn anew: it costs a look at every service. Not measured. */
const CONCLUDE_EVERY = 20;

interface RouteOrigins {
  total: number;
  readonly byService: Map<string, number>;
  isNested: boolean;
  /** Calls until the next conclusion. */
  untilConclusion: number;
}

export class OriginTracker {
  private readonly routes = new Map<string, RouteOrigins>();

  /** @param machines number of machines of each service */
  constructor(private readonly machines: () => ReadonlyMap<string, number>) {}

  /** A call arrived on `route` that began on a machine of `service`. */
  onCall(route: string, service: string): void {
    const origins = this.origins(route);
    origins.total += 1;
    origins.byService.set(service, (origins.byService.get(service) ?? 0) + 1);
    if (origins.total >= MAX_CALLS) fade(origins);
    origins.untilConclusion -= 1;
    if (origins.untilConclusion > 0) return;
    origins.untilConclusion = CONCLUDE_EVERY;
    origins.isNested = isNested(origins, this.machines());
  }

  /** Whether targets make the calls of `route`, as far as is known. */
  isNested(route: string): boolean {
    return this.routes.get(route)?.isNested ?? false;
  }

  private origins(route: string): RouteOrigins {
    const existing = this.routes.get(route);
    if (existing !== undefined) return existing;
    const created: RouteOrigins = {
      total: 0,
      byService: new Map(),
      isNested: false,
      untilConclusion: CONCLUDE_EVERY,
    };
    this.routes.set(route, created);
    return created;
  }
}

function isNested(origins: RouteOrigins, machines: ReadonlyMap<string, number>): boolean {
  const services = new Set([...machines.keys(), ...origins.byService.keys()]);
  if (services.size < MIN_SERVICES) return false;
  const allMachines = sum(machines.values());
  let expectedFromAbsent = 0;
  let present = 0;
  for (const service of services) {
    const expected = (origins.total * (machines.get(service) ?? 0)) / allMachines;
    const calls = origins.byService.get(service) ?? 0;
    if (calls > MIN_PART_OF_EXPECTED * expected) present += 1;
    else expectedFromAbsent += expected;
  }
  if (expectedFromAbsent < MIN_EXPECTED_CALLS) return false;
  return present <= services.size * MAX_ORIGIN_PART;
}

function sum(numbers: Iterable<number>): number {
  let total = 0;
  for (const number of numbers) total += number;
  return total;
}

function fade(origins: RouteOrigins): void {
  origins.total = 0;
  for (const [service, calls] of origins.byService) {
    const kept = calls / 2;
    if (kept < 1) origins.byService.delete(service);
    else {
      origins.byService.set(service, kept);
      origins.total += kept;
    }
  }
}
