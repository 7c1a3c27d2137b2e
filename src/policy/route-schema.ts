/**
 * Schemas of the resources of a declared set (see `control/declaration-api.ts`): `Route` (services, timeout and rank of
 * requests), `Ingress` (limits on requests of clients), `Group` (callers and their rate limits) and `Service`. Specs are
 * stored unchanged, including unknown fields, so that a set reads back as written; defaults are applied in `route-table.ts`.
 */
import { z } from 'zod';
import type { Fault } from '../common/errors.js';
import { faultsOf } from '../common/validate.js';
import { declaredNameSchema, groupResourceSchema, sharedKeyFaults } from './group-schema.js';

// Upper bounds that reject mistyped values: milliseconds, characters (of a host: RFC 1035), targets of one request.
const MAX_TIME_MS = 3_600_000;
const MAX_HOST_LENGTH = 253;
const MAX_PREFIX_LENGTH = 4_096;
const MAX_TARGETS = 1_000;

const timeSchema = z.number().positive('must be greater than 0').max(MAX_TIME_MS);

/**
 * How often a request may run: `repeatable` ones any number of times, `once` ones at most once; `bulk` ones are repeatable
 * and have large responses; `upload` ones run at most once and have large bodies.
 */
export const ROUTE_SEMANTICS = ['repeatable', 'once', 'bulk', 'upload'] as const;
export type RouteSemantics = (typeof ROUTE_SEMANTICS)[number];

/** Semantics whose requests may run more than once. */
export const REPEATABLE_SEMANTICS: ReadonlySet<RouteSemantics> = new Set(['repeatable', 'bulk']);

const backendSchema = z.looseObject({
  service: declaredNameSchema,
  /** Weight relative to the other backends. */
  weight: z.number().min(0),
});

const routeSpecSchema = z
  .looseObject({
    host: z.string().min(1).max(MAX_HOST_LENGTH),
    pathPrefix: z
      .string()
      .max(MAX_PREFIX_LENGTH)
      .regex(/^\/(?:.*\/)?$/, 'must begin and end with a slash'),
    semantics: z.enum(ROUTE_SEMANTICS),
    /** Maximum duration of a request, in milliseconds. */
    timeoutMs: timeSchema,
    /** Latency objective in milliseconds. Default: the timeout. */
    objectiveMs: timeSchema.optional(),
    /** 0 is the most urgent. Default 0. */
    rank: z.number().int().min(0).optional(),
    /** Maximum number of targets that one request is sent to. Default 1. */
    maxTargets: z.number().int().min(1, 'must be at least 1').max(MAX_TARGETS).optional(),
    /** Service of the route; mutually exclusive with `backends`. */
    service: declaredNameSchema.optional(),
    backends: z.array(backendSchema).min(1).optional(),
    /** Whether requests are accepted without an API key. Default false. */
    anonymous: z.boolean().optional(),
  })
  .refine((spec) => (spec.service === undefined) !== (spec.backends === undefined), {
    path: ['service'],
    message: 'needs either a service or backends',
  })
  .refine((spec) => spec.backends?.some((backend) => backend.weight > 0) ?? true, {
    path: ['backends'],
    message: 'must have a weight above 0',
  });

/** Assigns requests to services by host and longest path prefix. */
export const routeResourceSchema = z.strictObject({
  kind: z.literal('Route'),
  name: declaredNameSchema,
  spec: routeSpecSchema,
});

/** Limits on requests and connections of clients. */
export const ingressResourceSchema = z.strictObject({
  kind: z.literal('Ingress'),
  name: declaredNameSchema,
  spec: z.looseObject({
    maxHeaderBytes: z.number().int().min(1).optional(),
    maxBodyBytes: z.number().int().min(0).optional(),
    /** Timeout for receiving the headers of a request, in milliseconds. */
    headerTimeoutMs: timeSchema.optional(),
    /** Timeout of an idle keep-alive connection, in milliseconds. */
    idleTimeoutMs: timeSchema.optional(),
  }),
});

/** A service in a declared set; all settings are optional. */
const declaredServiceSchema = z.strictObject({
  kind: z.literal('Service'),
  name: declaredNameSchema,
  spec: z.looseObject({
    connections: z.number().int().min(1).optional(),
    healthCheckPath: z.string().optional(),
  }),
});

/** A resource of any kind that a declared set may contain. */
export const declaredResourceSchema = z.discriminatedUnion('kind', [
  routeResourceSchema,
  ingressResourceSchema,
  declaredServiceSchema,
  groupResourceSchema,
]);

export type RouteResource = z.infer<typeof routeResourceSchema>;
export type RouteSpec = RouteResource['spec'];
export type IngressResource = z.infer<typeof ingressResourceSchema>;
export type DeclaredSetResource = z.infer<typeof declaredResourceSchema>;

/** Resource kinds that a declared set may contain. */
export const DECLARED_SET_KINDS: readonly DeclaredSetResource['kind'][] = [
  'Route',
  'Service',
  'Ingress',
  'Group',
];

/** Returns the services of a route. */
export function servicesOf(spec: RouteSpec): string[] {
  return spec.backends?.map((backend) => backend.service) ?? [spec.service ?? ''];
}

/** Returns the faults of each resource of a set or, if there are none, the conflicts between the resources. */
export function declarationFaults(resources: readonly unknown[]): Fault[] {
  const faults = resources.flatMap((resource, index) =>
    faultsOf(declaredResourceSchema, resource).map(({ path, message }) => ({
      path: `resources[${index}].${path}`,
      message,
    })),
  );
  return faults.length > 0
    ? faults
    : crossResourceFaults(resources as readonly DeclaredSetResource[]);
}

/** Finds duplicate names, routes with the same host and path prefix, undeclared services, and shared API keys. */
function crossResourceFaults(resources: readonly DeclaredSetResource[]): Fault[] {
  const faults: Fault[] = [];
  const seenKeys = new Set<string>();
  const addUnique = (key: string, index: number, message: string): void => {
    if (seenKeys.has(key)) faults.push({ path: `resources[${index}]`, message });
    seenKeys.add(key);
  };
  const services = new Set(
    resources.filter(({ kind }) => kind === 'Service').map((resource) => resource.name),
  );
  resources.forEach((resource, index) => {
    const { kind, name } = resource;
    addUnique(`name ${kind}/${name}`, index, `${kind} '${name}' stands twice`);
    if (resource.kind !== 'Route') return;
    const { host, pathPrefix } = resource.spec;
    const routeKey = `${host.toLowerCase()}${pathPrefix}`;
    addUnique(`place ${routeKey}`, index, `another route has ${routeKey}`);
    for (const service of servicesOf(resource.spec)) {
      if (services.has(service)) continue;
      faults.push({ path: `resources[${index}].spec`, message: `no service '${service}'` });
    }
  });
  const groups = resources.flatMap((resource, index) =>
    resource.kind === 'Group' ? [{ index, group: resource }] : [],
  );
  return [...faults, ...sharedKeyFaults(groups)];
}
