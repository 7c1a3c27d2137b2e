/**
 * Tells calls that targets make from requests of clients. Clients are on the machines of every service, targets only on
 * their own: a route whose requests begin on the machines of a few services is one that those services call. Learned from
 * the calls that arrive, and forgotten with time, so that it follows the configuration.
 *
 * Owns the counts of one gate. Relies on clients that are spread over the machines of all services.
 */

/** Calls of a route at which its counts are halved, so that old calls fade. */
const MAX_CALLS = 2_000;

/** Part of the calls expected from its machines below which a service is no origin: strays. */
const MIN_FRACTION_OF_EXPECTED = 0.1;

/** Routes with no more than this part of the services as origins are called by targets. */
const MAX_ORIGIN_FRACTION = 0.5;

/** With fewer services nothing can be concluded: the only one has all calls. */
const MIN_SERVICES = 2;

/**
 * Calls that clients would have made from the services without any, before their absence means something. With independent
 * calls the chance to be wrong is exp(-14), one in a million. Of 300 drawn gates none is mistaken
 * (test/routing/origin-tracker.test.ts), where a fixed number of 20 calls mistook 3.
 */
const MIN_EXPECTED_CALLS = 14;

/**
 * Machines of those services that are expected to call here, before their absence means something: each machine uses a few
 * gates of a service alone, so at one gate of many the calls of clients come from few machines again and again. By calls
 * alone such a gate took clients' requests for those of targets for good, and limited none of them.
 */
const MIN_EXPECTED_CALLERS = 7;

/**
 * Expected calls, and expected callers, from which a route is presumed to be called by targets: about what comes while the
 * first limit of a kind is used up.
 */
const MIN_EXPECTED_TO_PRESUME = 3;

/** Calls of a route after which a conclusion is drawn anew, but for the first ones: it costs a look at every service. */
const CALLS_PER_EVALUATION = 20;

/** Who makes the calls of a route, as far as is known. */
enum CallerType {
  Unknown,
  /** Nothing speaks against targets yet, but little has been seen. */
  PresumedTargets,
  Targets,
}

interface RouteOrigins {
  total: number;
  readonly byService: Map<string, number>;
  callerType: CallerType;
  /** Calls until the next conclusion. */
  callsUntilEvaluation: number;
}

export class OriginTracker {
  private readonly routes = new Map<string, RouteOrigins>();

  /**
   * @param machines number of machines of each service
   * @param callingPart part of all machines that send calls to this gate, 0 to 1. Default: all
   */
  constructor(
    private readonly machines: () => ReadonlyMap<string, number>,
    private readonly callingPart: () => number = () => 1,
  ) {}

  /** A call arrived on `route` that began on a machine of `service`. */
  onCall(route: string, service: string): void {
    const origins = this.origins(route);
    origins.total += 1;
    origins.byService.set(service, (origins.byService.get(service) ?? 0) + 1);
    if (origins.total >= MAX_CALLS) halveCounts(origins);
    origins.callsUntilEvaluation -= 1;
    const isNew = origins.total < CALLS_PER_EVALUATION;
    if (!isNew && origins.callsUntilEvaluation > 0) return;
    origins.callsUntilEvaluation = CALLS_PER_EVALUATION;
    origins.callerType = classifyCaller(origins, this.machines(), this.callingPart());
  }

  /** Whether targets make the calls of `route`, as far as is known. */
  isNested(route: string): boolean {
    return this.routes.get(route)?.callerType === CallerType.Targets;
  }

  /** Whether all that was seen yet suggests that targets make the calls of `route`, however little that is. */
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
  callingPart: number,
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
  // Where all machines call here, calls are as independent as their callers.
  const expectedCallers = callingPart < 1 ? absentMachines * callingPart : Infinity;
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
