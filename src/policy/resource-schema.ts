/**
 * The resources operators declare: `Policy` (groups, shares, kinds, importance, retry and deadline
 * rules) and `Service` (settings for a service's targets). Unknown keys are refused. Also the resources that control declares itself (`ClaimView`,
 * `Quarantine`). Owns the forms and their faults; what two resources may not both say is decided in `policy-table.ts`.
 */
import { z } from 'zod';
import { faultsOf, parseOrThrow } from '../common/validate.js';
import type { Fault } from '../common/errors.js';
import { IMPORTANCE_NAMES } from './importance.js';
import { PATH_PATTERN_SYNTAX } from './path-pattern.js';
import { groupResourceSchema } from './group-schema.js';
import { ingressResourceSchema, routeResourceSchema } from './route-schema.js';

// Bounds against mistakes: milliseconds, retries of a request, requests at once.
const MAX_DEADLINE_MS = 600_000;
const MAX_RETRY_ALLOWANCE = 10;
const MAX_CONCURRENCY = 10_000;
/** Milliseconds from arrival to the last moment an answer is of use. */
const DEFAULT_DEADLINE_MS = 2_000;
/** Retries of one request over its whole chain. */
const DEFAULT_RETRY_ALLOWANCE = 2;
/** Retries for each first attempt of a process. */
const DEFAULT_RETRY_RATIO = 0.1;
/** Longest time in the queue of a node, in milliseconds. */
const DEFAULT_QUEUE_WAIT_MS = 100;
/** Connections from a node to its target. */
const DEFAULT_CONNECTIONS = 100;
/** Time over which a new target takes up its load, in milliseconds. */
const DEFAULT_SLOW_START_MS = 10_000;

/** Names of resources, groups, kinds and services. */
export const nameSchema = z
  .string()
  .regex(/^[a-z][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens, at most 63');

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

const groupSchema = z.strictObject({
  name: nameSchema,
  /** Weight of the group relative to the other groups. */
  share: z.number().positive('must be greater than 0').max(1_000_000),
  /** SHA-256 hashes (hexadecimal) of the API keys that identify the group's callers. */
  keyHashes: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 lower-case hexadecimal digits'))
    .default([]),
});

const matchSchema = z.strictObject({
  method: z.enum(METHODS),
  path: z
    .string()
    .max(512)
    .regex(PATH_PATTERN_SYNTAX, 'must be segments such as /v1/plans/{id}, with ** only at the end'),
});

const kindSchema = z.strictObject({
  name: nameSchema,
  service: nameSchema,
  match: z.array(matchSchema).min(1, 'must have at least one method and path'),
  importance: z.enum(IMPORTANCE_NAMES),
  /** Whether running the request twice is harmless. */
  repeatable: z.boolean(),
  /** Whether only services may send it; edges answer 404 to callers from outside. */
  internal: z.boolean().default(false),
  /** Milliseconds from arrival at the edge to the last moment an answer is of use. */
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

const retrySchema = z
  .strictObject({
    /** Most retries for one request over its whole chain. */
    allowance: z.number().int().min(0).max(MAX_RETRY_ALLOWANCE).default(DEFAULT_RETRY_ALLOWANCE),
    /** Most retries as a ratio of first attempts, for each process. */
    ratio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
  })
  .default({ allowance: DEFAULT_RETRY_ALLOWANCE, ratio: DEFAULT_RETRY_RATIO });

const policySpecSchema = z.strictObject({
  groups: z.array(groupSchema).min(1, 'must have at least one group'),
  /** Group of callers that present no known API key. Refused (401) when absent. */
  defaultGroup: nameSchema.optional(),
  kinds: z.array(kindSchema).min(1, 'must have at least one kind'),
  retry: retrySchema,
});

const concurrencySchema = z
  .strictObject({
    algorithm: z.enum(['adaptive', 'fixed']).default('adaptive'),
    initial: z.number().int().min(1).max(MAX_CONCURRENCY).default(10),
    min: z.number().int().min(1).max(MAX_CONCURRENCY).default(1),
    max: z.number().int().min(1).max(MAX_CONCURRENCY).default(200),
  })
  .refine((value) => value.min <= value.initial && value.initial <= value.max, {
    message: 'must satisfy min <= initial <= max',
  });

const serviceSpecSchema = z.strictObject({
  /** Concurrent requests the node lets into its target. */
  concurrency: concurrencySchema.default({
    algorithm: 'adaptive',
    initial: 10,
    min: 1,
    max: 200,
  }),
  /** Most connections a node opens to its target. */
  connections: z.number().int().min(1).max(10_000).default(DEFAULT_CONNECTIONS),
  /** Longest time a call may wait at the node, in milliseconds. */
  queueWaitMs: z.number().int().min(0).max(60_000).default(DEFAULT_QUEUE_WAIT_MS),
  /** Time over which a new or returned target takes up its full load, in milliseconds. */
  slowStartMs: z.number().int().min(0).max(600_000).default(DEFAULT_SLOW_START_MS),
  /** Path of the targets' health check, for sidecars that look for their target. */
  healthCheckPath: z.string().startsWith('/').optional(),
});

/** A sharing policy. */
export const policyResourceSchema = z.strictObject({
  kind: z.literal('Policy'),
  name: nameSchema,
  spec: policySpecSchema,
});

/** Settings for the targets of a service. */
export const serviceResourceSchema = z.strictObject({
  kind: z.literal('Service'),
  name: nameSchema,
  spec: serviceSpecSchema,
});

const claimMemberSchema = z.strictObject({
  id: nameSchema,
  zone: nameSchema,
  /** Of the node's process when the view was declared. */
  incarnation: z.number().int(),
});

/**
 * Which nodes keep a service's claims of idempotency keys. Declared by control itself: operators
 * read it and can't change it.
 */
export const claimViewResourceSchema = z.strictObject({
  kind: z.literal('ClaimView'),
  name: nameSchema,
  spec: z.strictObject({
    /** Counts the views of the service, from 1. */
    epoch: z.number().int().min(1),
    members: z.array(claimMemberSchema),
    /** Members of the view before, whose claims are taken over. */
    previousMembers: z.array(claimMemberSchema),
  }),
});

/**
 * A request that is kept from targets because it crashes them, named by its fingerprint. Declared by control itself:
 * operators read and delete it, and can't change it.
 */
export const quarantineResourceSchema = z.strictObject({
  kind: z.literal('Quarantine'),
  name: nameSchema,
  spec: z.strictObject({
    /** False once its time is over: the request runs again, and the next crash under it renews the quarantine. */
    inForce: z.boolean(),
    /** Wall-clock milliseconds of the leader at which this state ends. */
    until: z.number().int(),
    /** Times that it has been put in force. */
    terms: z.number().int().min(1),
  }),
});

/** Any resource. */
export const resourceSchema = z.discriminatedUnion('kind', [
  policyResourceSchema,
  serviceResourceSchema,
  claimViewResourceSchema,
  quarantineResourceSchema,
  routeResourceSchema,
  ingressResourceSchema,
  groupResourceSchema,
]);

export type PolicyResource = z.infer<typeof policyResourceSchema>;
export type ServiceResource = z.infer<typeof serviceResourceSchema>;
export type ServiceSpec = ServiceResource['spec'];
export type ClaimViewResource = z.infer<typeof claimViewResourceSchema>;
export type QuarantineResource = z.infer<typeof quarantineResourceSchema>;
export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKind = Resource['kind'];
export type KindDeclaration = PolicyResource['spec']['kinds'][number];
export type GroupDeclaration = PolicyResource['spec']['groups'][number];

/** The resource kinds that operators declare, in the order in which a directory is applied. */
export const DECLARED_KINDS: readonly ResourceKind[] = ['Service', 'Policy'];

/** The resource kinds that operators may delete: a quarantine that keeps a sound request from targets, too. */
export const DELETABLE_KINDS: readonly ResourceKind[] = [...DECLARED_KINDS, 'Quarantine'];

/** All resource kinds. */
export const RESOURCE_KINDS: readonly ResourceKind[] = [
  ...DECLARED_KINDS,
  'ClaimView',
  'Quarantine',
  'Route',
  'Ingress',
  'Group',
];

/** The settings of a service for which no `Service` resource is declared. */
export const DEFAULT_SERVICE_SPEC: ServiceSpec = serviceSpecSchema.parse({});

/** Faults inside one policy that a schema cannot express. */
function policyFaults(resource: Resource): Fault[] {
  if (resource.kind !== 'Policy') return [];
  const faults: Fault[] = [];
  const { groups, kinds, defaultGroup } = resource.spec;
  const groupNames = new Set<string>();
  groups.forEach((group, index) => {
    if (groupNames.has(group.name)) {
      faults.push({ path: `spec.groups[${index}].name`, message: `'${group.name}' stands twice` });
    }
    groupNames.add(group.name);
  });
  const kindNames = new Set<string>();
  kinds.forEach((kind, index) => {
    if (kindNames.has(kind.name)) {
      faults.push({ path: `spec.kinds[${index}].name`, message: `'${kind.name}' stands twice` });
    }
    kindNames.add(kind.name);
  });
  if (defaultGroup !== undefined && !groupNames.has(defaultGroup)) {
    faults.push({
      path: 'spec.defaultGroup',
      message: `must be one of the groups: ${[...groupNames].join(', ')}`,
    });
  }
  return faults;
}

/** Every fault of `value` as a resource; empty when it is valid. */
export function resourceFaults(value: unknown): Fault[] {
  const faults = faultsOf(resourceSchema, value);
  if (faults.length > 0) return faults;
  return policyFaults(resourceSchema.parse(value));
}

/**
 * Parses a resource, filling in defaults.
 * @throws ValidationError naming every fault
 */
export function parseResource(value: unknown): Resource {
  return parseOrThrow(resourceSchema, value, 'resource');
}
