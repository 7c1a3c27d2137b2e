/**
 * The declared routes, compiled into the lookup that each request needs. Immutable, like the policy
 * table that holds it: a request keeps the route it was matched with.
 */
import { HIGHEST_IMPORTANCE, type Importance } from './importance.js';
import { servicesOf, type IngressResource, type RouteResource } from './route-schema.js';

/** One of the services of a route. */
export interface Backend {
  readonly service: string;
  readonly weight: number;
}

/** A route as looked up for each request. */
export interface Route {
  readonly name: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Whether answers are large. */
  readonly bulk: boolean;
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly importance: Importance;
  readonly maxTargets: number;
  readonly backends: readonly Backend[];
  /** Whether requests need no API key. */
  readonly anonymous: boolean;
}

/** Limits on what clients may send, with defaults. */
export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** What holds where no Ingress resource says otherwise: bytes and milliseconds. */
export const DEFAULT_INGRESS_LIMITS: IngressLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 30_000,
};

/** Targets that one request may be sent to where its route does not say: no second attempt elsewhere. */
const DEFAULT_MAX_TARGETS = 1;

export class RouteTable {
  /** Routes by host, then by path prefix. */
  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(routes: Iterable<RouteResource>) {
    for (const resource of routes) this.add(resource);
  }

  /** The route with the longest prefix of `path` at `host`, or undefined. */
  match(host: string | undefined, path: string): Route | undefined {
    const prefixes = this.hosts.get(normalizeHost(host));
    if (prefixes === undefined) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }

  private add(resource: RouteResource): void {
    const host = normalizeHost(resource.spec.host);
    const prefixes = this.hosts.get(host) ?? new Map<string, Route>();
    prefixes.set(resource.spec.pathPrefix, compile(resource));
    this.hosts.set(host, prefixes);
  }
}

function compile({ name, spec }: RouteResource): Route {
  const rank = spec.rank ?? 0;
  return {
    name,
    repeatable: spec.semantics !== 'once',
    bulk: spec.semantics === 'bulk',
    timeoutMs: spec.timeoutMs,
    objectiveMs: spec.objectiveMs ?? spec.timeoutMs,
    rank,
    importance: importanceFromRank(rank),
    maxTargets: spec.maxTargets ?? DEFAULT_MAX_TARGETS,
    backends: spec.backends ?? servicesOf(spec).map((service) => ({ service, weight: 1 })),
    anonymous: spec.anonymous ?? false,
  };
}

/** Ranks beyond the least importance share it. */
function importanceFromRank(rank: number): Importance {
  return Math.max(0, HIGHEST_IMPORTANCE - rank) as Importance;
}

/** A `Host` value without its port, in lower case (RFC 9110, section 4.2.3). */
function normalizeHost(host: string | undefined): string {
  return (host ?? '').toLowerCase().replace(/:\d+$/, '');
}

/** The limits of an Ingress resource, with defaults. */
export function ingressLimits(resource: IngressResource | undefined): IngressLimits {
  const spec = resource?.spec;
  return {
    maxHeaderBytes: spec?.maxHeaderBytes ?? DEFAULT_INGRESS_LIMITS.maxHeaderBytes,
    maxBodyBytes: spec?.maxBodyBytes ?? DEFAULT_INGRESS_LIMITS.maxBodyBytes,
    headerTimeoutMs: spec?.headerTimeoutMs ?? DEFAULT_INGRESS_LIMITS.headerTimeoutMs,
    idleTimeoutMs: spec?.idleTimeoutMs ?? DEFAULT_INGRESS_LIMITS.idleTimeoutMs,
  };
}
