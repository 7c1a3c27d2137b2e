/** Lookup of the declared routes by host and longest path prefix. Immutable, like the policy table that contains it. */
import { HIGHEST_IMPORTANCE, type Importance } from './importance.js';
import {
  REPEATABLE_SEMANTICS,
  servicesOf,
  type IngressResource,
  type RouteResource,
} from './route-schema.js';

/** A service of a route. */
export interface Backend {
  readonly service: string;
  /** Weight relative to the other backends of the route. */
  readonly weight: number;
}

/** A declared route with defaults applied. */
export interface Route {
  readonly name: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Whether responses are large. */
  readonly bulk: boolean;
  readonly timeoutMs: number;
  /** Latency objective. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly importance: Importance;
  /** Maximum number of targets that one request is sent to. */
  readonly maxTargets: number;
  readonly backends: readonly Backend[];
  /** Whether requests are accepted without an API key. */
  readonly anonymous: boolean;
}

/** Limits on requests and connections of clients. */
export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export const DEFAULT_INGRESS_LIMITS: IngressLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 64 * 1024 * 1024,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 30_000,
};

/** With one target, a request is not retried at another. */
const DEFAULT_MAX_TARGETS = 1;

/** The declared routes of one revision. */
export class RouteTable {
  /** Routes by host, then by path prefix. */
  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(routes: Iterable<RouteResource>) {
    for (const resource of routes) this.add(resource);
  }

  /** Returns the route of `host` with the longest path prefix that matches, or undefined. */
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
    repeatable: REPEATABLE_SEMANTICS.has(spec.semantics),
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

/** Maps rank 0 to the highest importance; all ranks from 3 on have the lowest. */
function importanceFromRank(rank: number): Importance {
  return Math.max(0, HIGHEST_IMPORTANCE - rank) as Importance;
}

/** Removes the port from a `Host` value and converts it to lower case (RFC 9110, section 4.2.3). */
function normalizeHost(host: string | undefined): string {
  return (host ?? '').toLowerCase().replace(/:\d+$/, '');
}

/** Applies the defaults to an Ingress resource. */
export function ingressLimits(resource: IngressResource | undefined): IngressLimits {
  const spec = resource?.spec;
  return {
    maxHeaderBytes: spec?.maxHeaderBytes ?? DEFAULT_INGRESS_LIMITS.maxHeaderBytes,
    maxBodyBytes: spec?.maxBodyBytes ?? DEFAULT_INGRESS_LIMITS.maxBodyBytes,
    headerTimeoutMs: spec?.headerTimeoutMs ?? DEFAULT_INGRESS_LIMITS.headerTimeoutMs,
    idleTimeoutMs: spec?.idleTimeoutMs ?? DEFAULT_INGRESS_LIMITS.idleTimeoutMs,
  };
}
