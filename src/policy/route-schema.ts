/**
 * The resources of a declared set (see `control/declaration-api.ts`): `Route` (which requests go to
 * which services, and what they are worth), `Ingress` (limits on what clients may send), `Group` (who
 * may call, and how often), and `Service`. Specs are kept as they were declared, fields that this version does not know included,
 * so that a set reads back as it was written; defaults are applied where routes are compiled.
 */
import { z } from 'zod';
import type { Fault } from '../common/errors.js';
import { faultsOf } from '../common/validate.js';
import { declaredNameSchema, groupResourceSchema, sharedKeyFaults } from './group-schema.js';

// Bounds against mistakes: milliseconds, characters (of a host, RFC 1035), and targets of one request.
const MAX_TIME_MS = 3_600_000;
const MAX_HOST_LENGTH = 253;
const MAX_PREFIX_LENGTH = 4_096;
const MAX_TARGETS = 1_000;

const timeSchema = z.number().positive('must be greater than 0').max(MAX_TIME_MS);

/**
 * What may be repeated: `repeatable` requests may run more than once, `once` requests at most once,
 * and `bulk` requests are repeatable with large answers.
 */
export const ROUTE_SEMANTICS = ['repeatable', 'once', 'bulk'] as const;

const backendSchema = z.looseObject({
  service: declaredNameSchema,
  /** Share of the requests relative to the other backends. */
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
    /** Longest time that a request is held, in milliseconds. */
    timeoutMs: timeSchema,
    /** Time within which an answer is worth its full credit, in milliseconds. Default: the timeout. */
    objectiveMs: timeSchema.optional(),
    /** 0 is the most urgent. Default 0. */
    rank: z.number().int().min(0).optional(),
    /** Most targets that one request may be sent to. Default 1. */
    maxTargets: z.number().int().min(1, 'must be at least 1').max(MAX_TARGETS).optional(),
    /** The one service that serves the route, where there are no backends. */
    service: declaredNameSchema.optional(),
    backends: z.array(backendSchema).min(1).optional(),
    /** Whether requests need no API key. Default false. */
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

/** Requests by host and longest path prefix, and the services that run them. */
export const routeResourceSchema = z.strictObject({
  kind: z.literal('Route'),
  name: declaredNameSchema,
  spec: routeSpecSchema,
});

/** Limits on what clients may send. */
export const ingressResourceSchema = z.strictObject({
  kind: z.literal('Ingress'),
  name: declaredNameSchema,
  spec: z.looseObject({
    maxHeaderBytes: z.number().int().min(1).optional(),
    maxBodyBytes: z.number().int().min(0).optional(),
    /** Longest time for the headers of a request to arrive, in milliseconds. */
    headerTimeoutMs: timeSchema.optional(),
    /** Longest time that a kept connection may rest, in milliseconds. */
    idleTimeoutMs: timeSchema.optional(),
  }),
});

/** A service in a declared set: every setting is optional. */
const declaredServiceSchema = z.strictObject({
  kind: z.literal('Service'),
  name: declaredNameSchema,
  spec: z.looseObject({
    connections: z.number().int().min(1).optional(),
    healthCheckPath: z.string().optional(),
  }),
});

/** Any resource of a declared set. */
export const declaredResourceSchema = z.discriminatedUnion('kind', [
  routeResourceSchema,
  ingressResourceSchema,
  declaredServiceSchema,
  groupResourceSchema,
]);

export type RouteResource = z.infer<typeof routeResourceSchema>;
export type RouteSpec = RouteResource['spec'];
export type IngressResource = z.infer<typeof ingressResourceSchema>;
export type SetResource = z.infer<typeof declaredResourceSchema>;

/** The kinds that a declared set consists of. */
export const SET_KINDS: readonly SetResource['kind'][] = ['Route', 'Service', 'Ingress', 'Group'];

/** The services that a route names. */
export function servicesOf(spec: RouteSpec): string[] {
  return spec.backends?.map((backend) => backend.service) ?? [spec.service ?? ''];
}

/** Every fault of the resources of a set, each alone and against one another. */
export function declarationFaults(resources: readonly unknown[]): Fault[] {
  const faults = resources.flatMap((resource, index) =>
    faultsOf(declaredResourceSchema, resource).map(({ path, message }) => ({
      path: `resources[${index}].${path}`,
      message,
    })),
  );
  return faults.length > 0 ? faults : crossResourceFaults(resources as readonly SetResource[]);
}

/** Names that stand twice, places that two routes claim, services that no resource declares. */
function crossResourceFaults(resources: readonly SetResource[]): Fault[] {
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
