/** The operator of a soak: declares and changes the routes, and checks whether a machine has applied a change. */
import { request } from 'undici';
import { DEFAULT_TARGET_HEADERS } from '../../src/http/target-headers.js';
import type { SoakReplica } from './soak-fleet.js';
import type { SoakPlan, SoakService } from './soak-plan.js';

export const SOAK_HOST = 'soak.example';
/** Path prefixes of the route with repeatable requests and of the one with at-most-once requests. */
export const READ_PATH = '/read/';
export const PLACE_PATH = '/place/';
/** Path prefix of the route with long request bodies. */
export const UPLOAD_PATH = '/upload/';
export const HEALTH_PATH = '/health';
const RETRY_MS = 100;
const ANSWER_TIMEOUT_MS = 1_000;
const STATUS_OK = 200;
const STATUS_NO_ROUTE = 404;

/** Path prefix of the route through which targets call a service. */
export function nestedPath(service: SoakService): string {
  return `/nested-${service.name}/`;
}

export class SoakOperator {
  private version = 0;

  constructor(
    private readonly plan: SoakPlan,
    private readonly replicas: readonly Pick<SoakReplica, 'origin'>[],
    private readonly isOver: () => boolean,
  ) {}

  /**
   * Declares the next version, which has a marker route of its own; retries until a replica accepts it.
   * @returns the version; undefined if the run ended first
   */
  async declareNext(): Promise<number | undefined> {
    const base = this.version;
    const version = base + 1;
    for (let attempt = 0; !this.isOver(); attempt += 1) {
      const replica = this.replicas[attempt % this.replicas.length]!;
      if (await this.put(replica, version, base)) {
        this.version = version;
        return version;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
    return undefined;
  }

  private async put(
    { origin }: Pick<SoakReplica, 'origin'>,
    version: number,
    base: number,
  ): Promise<boolean> {
    try {
      const response = await request(`${origin}/v1/declarations`, {
        method: 'PUT',
        headers: { 'if-match': String(base) },
        body: JSON.stringify({ version, resources: resourcesOf(this.plan, version) }),
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      await response.body.dump();
      return response.statusCode === STATUS_OK;
    } catch {
      // The replica is down, paused or slow; the caller tries another one.
      return false;
    }
  }
}

/**
 * Whether a machine has the marker route of a version and no longer that of the previous one.
 * @returns undefined if the machine did not respond
 */
export async function isVersionInForce(
  outbound: string,
  version: number,
  id: string,
): Promise<boolean | undefined> {
  const present = await requestStatus(outbound, markerPath(version), `${id}-present`);
  const earlier = await requestStatus(outbound, markerPath(version - 1), `${id}-earlier`);
  if (present === undefined || earlier === undefined) return undefined;
  return present !== STATUS_NO_ROUTE && earlier === STATUS_NO_ROUTE;
}

/** Sends a request through a sidecar. @returns its status; undefined without a response */
export async function requestStatus(
  outbound: string,
  path: string,
  id: string,
): Promise<number | undefined> {
  try {
    const response = await request(`${outbound}${path}1`, {
      headers: { host: SOAK_HOST, [DEFAULT_TARGET_HEADERS.requestId]: id },
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
    });
    await response.body.dump();
    return response.statusCode;
  } catch {
    // Without a response the configuration is unknown.
    return undefined;
  }
}

function markerPath(version: number): string {
  return `/marker-${version}/`;
}

function resourcesOf(plan: SoakPlan, version: number): object[] {
  const [first, ...deeper] = plan.services;
  const route = (name: string, path: string, service: SoakService, semantics: string): object =>
    routeOf(plan, name, path, service, semantics);
  return [
    route('read', READ_PATH, first!, 'repeatable'),
    route('place', PLACE_PATH, first!, 'once'),
    ...(plan.uploads === undefined ? [] : [route('upload', UPLOAD_PATH, first!, 'once')]),
    route('marker', markerPath(version), first!, 'repeatable'),
    ...deeper.map((service) =>
      route(`nested-${service.name}`, nestedPath(service), service, 'repeatable'),
    ),
    ...plan.services.map(({ name }) => ({ kind: 'Service', name, spec: serviceSpecOf(plan) })),
  ];
}

function serviceSpecOf({ hasHealthChecks = false }: SoakPlan): object {
  return { connections: 128, ...(hasHealthChecks && { healthCheckPath: HEALTH_PATH }) };
}

function routeOf(
  { timeoutMs }: SoakPlan,
  name: string,
  pathPrefix: string,
  service: SoakService,
  semantics: string,
): object {
  const limits = { timeoutMs, objectiveMs: timeoutMs / 2, rank: 1, maxTargets: 2 };
  return {
    kind: 'Route',
    name,
    spec: { host: SOAK_HOST, pathPrefix, service: service.name, semantics, ...limits },
  };
}
