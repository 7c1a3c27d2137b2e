/**
 * Distinguishes nested calls, which targets make, from requests of clients. Assumes that clients are spread over the
 * machines of all services: if the calls of a route come from the machines of only a few services, the targets there make
 * them. Counts the calls that arrive at one gate; old calls decay, so that configuration changes are followed.
 */

/** Number of calls of a route at which its counts are halved, so that old calls decay. */
const MAX_CALLS = 2_000;

/** Fraction of the calls expected from its machines up to which a service is no origin. Tolerates stray calls. */
const MIN_FRACTION_OF_EXPECTED = 0.1;

/** Largest fraction of the services that may be origins of a nested route. */
const MAX_ORIGIN_FRACTION = 0.5;

/** Smallest number of services for a decision: with a single one, all calls come from it. */
const MIN_SERVICES = 2;

/**
 * Number of calls to expect from clients on the absent services before their absence is significant. For independent calls,
 * the probability of a wrong decision is exp(-14), one in a million.
 */
const MIN_EXPECTED_CALLS = 14;

/**
 * Number of machines of the absent services to expect as callers of this gate before their absence is significant. Each
 * machine calls only a subset of the gates, so that the calls at one gate are not independent: their number alone would
 * classify requests of clients as nested.
 */
const MIN_EXPECTED_CALLERS = 7;

/**
 * Number of expected calls and of expected callers from which a route is presumed to be nested: about as many as arrive
 * before the first limit of a kind is reached.
 */
const MIN_EXPECTED_TO_PRESUME = 3;

/** Calls of a route between two evaluations, except for the first ones: an evaluation iterates over all services. */
const CALLS_PER_EVALUATION = 20;

/** Who makes the calls of a route. */
enum CallerType {
  Unknown,
  /** All calls so far suggest targets, but there are too few to decide. */
  PresumedTargets,
  Targets,
}

interface RouteOrigins {
  total: number;
  readonly byService: Map<string, number>;
  callerType: CallerType;
  /** Calls until the next evaluation. */
  callsUntilEvaluation: number;
}

export class OriginTracker {
  private readonly routes = new Map<string, RouteOrigins>();

  /**
   * @param machines number of machines of each service
   * @param callerFraction fraction of all machines that send calls to this gate, 0 to 1. Default: 1
   */
  constructor(
    private readonly machines: () => ReadonlyMap<string, number>,
    private readonly callerFraction: () => number = () => 1,
  ) {}

  /** Records a call on `route` that originated on a machine of `service`. */
  onCall(route: string, service: string): void {
    const origins = this.origins(route);
    origins.total += 1;
    origins.byService.set(service, (origins.byService.get(service) ?? 0) + 1);
    if (origins.total >= MAX_CALLS) halveCounts(origins);
    origins.callsUntilEvaluation -= 1;
    const isNew = origins.total < CALLS_PER_EVALUATION;
    if (!isNew && origins.callsUntilEvaluation > 0) return;
    origins.callsUntilEvaluation = CALLS_PER_EVALUATION;
    origins.callerType = classifyCaller(origins, this.machines(), this.callerFraction());
  }

  /** Whether targets make the calls of `route`; false until there are enough calls to decide. */
  isNested(route: string): boolean {
    return this.routes.get(route)?.callerType === CallerType.Targets;
  }

  /** Whether the calls of `route` so far suggest that targets make them, even if there are too few to decide. */
  isPresumedNested(route: string): boolean {
    const callerType = this.routes.get(route)?.callerType ?? CallerType.Unknown;
    return callerType !== CallerType.Unknown;
  }

  private origins(route: string): RouteOrigins {
    const existing = this.routes.get(route);
    if (existing !== undefined) return existing;
    const created: RouteOrigins = {
      total: 0,
      byService: new Map(),
      callerType: CallerType.Unknown,
      callsUntilEvaluation: CALLS_PER_EVALUATION,
    };
    this.routes.set(route, created);
    return created;
  }
}

function classifyCaller(
  origins: RouteOrigins,
  machines: ReadonlyMap<string, number>,
  callerFraction: number,
): CallerType {
  const services = new Set([...machines.keys(), ...origins.byService.keys()]);
  if (services.size < MIN_SERVICES) return CallerType.Unknown;
  const allMachines = sum(machines.values());
  let absentMachines = 0;
  let present = 0;
  for (const service of services) {
    const count = machines.get(service) ?? 0;
    const expected = (origins.total * count) / allMachines;
    const calls = origins.byService.get(service) ?? 0;
    if (calls > MIN_FRACTION_OF_EXPECTED * expected) present += 1;
    else absentMachines += count;
  }
  if (present > services.size * MAX_ORIGIN_FRACTION) return CallerType.Unknown;
  const expectedCalls = (origins.total * absentMachines) / allMachines;
  // If all machines call this gate, the calls are independent and need no minimum number of callers.
  const expectedCallers = callerFraction < 1 ? absentMachines * callerFraction : Infinity;
  if (expectedCalls >= MIN_EXPECTED_CALLS && expectedCallers >= MIN_EXPECTED_CALLERS) {
    return CallerType.Targets;
  }
  const isLikely = Math.min(expectedCalls, expectedCallers) >= MIN_EXPECTED_TO_PRESUME;
  return isLikely ? CallerType.PresumedTargets : CallerType.Unknown;
}

function sum(numbers: Iterable<number>): number {
  let total = 0;
  for (const number of numbers) total += number;
  return total;
}

function halveCounts(origins: RouteOrigins): void {
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
