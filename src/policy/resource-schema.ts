/**
 * Schemas of the resources: `Policy` (groups, shares, kinds, importance, retries, deadlines) and `Service` (settings of a
 * service's targets), which operators declare, and `ClaimView` and `Quarantine`, which control declares. Unknown keys are
 * rejected. Conflicts between policies are found in `policy-conflicts.ts`.
 */
import { z } from 'zod';
import { faultsOf, parseOrThrow } from '../common/validate.js';
import type { Fault } from '../common/errors.js';
import { IMPORTANCE_NAMES } from './importance.js';
import { PATH_PATTERN_SYNTAX } from './path-pattern.js';
import { groupResourceSchema } from './group-schema.js';
import { ingressResourceSchema, routeResourceSchema } from './route-schema.js';

// Upper bounds that reject mistyped values: milliseconds, retries per request, concurrent requests.
const MAX_DEADLINE_MS = 600_000;
const MAX_RETRY_ALLOWANCE = 10;
const MAX_CONCURRENCY = 10_000;
/** Deadline of a request, measured from its arrival. */
const DEFAULT_DEADLINE_MS = 2_000;
/** Retries of one request over its whole call chain. */
const DEFAULT_RETRY_ALLOWANCE = 2;
/** Ratio of retries to first attempts, per process. */
const DEFAULT_RETRY_RATIO = 0.1;
/** Maximum time in the queue of a node. */
const DEFAULT_QUEUE_WAIT_MS = 100;
/** Maximum number of connections from a node to its target. */
const DEFAULT_CONNECTIONS = 100;
/** Duration of the slow start of a new target. */
const DEFAULT_SLOW_START_MS = 10_000;

/** Name of a resource, group, kind or service. */
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
  /** Whether the request may run more than once. */
  repeatable: z.boolean(),
  /** Whether only services may send it; edges answer 404 to callers from outside. */
  internal: z.boolean().default(false),
  /** Milliseconds from the arrival at the edge until the answer is no longer useful. */
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

const retrySchema = z
  .strictObject({
    /** Maximum number of retries of one request over its whole call chain. */
    allowance: z.number().int().min(0).max(MAX_RETRY_ALLOWANCE).default(DEFAULT_RETRY_ALLOWANCE),
    /** Maximum ratio of retries to first attempts, per process. */
    ratio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
  })
  .default({ allowance: DEFAULT_RETRY_ALLOWANCE, ratio: DEFAULT_RETRY_RATIO });

const policySpecSchema = z.strictObject({
  groups: z.array(groupSchema).min(1, 'must have at least one group'),
  /** Group of callers without a known API key. If absent, their requests are refused with 401. */
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
  /** Limit on the concurrent requests from the node to its target. */
  concurrency: concurrencySchema.default({
    algorithm: 'adaptive',
    initial: 10,
    min: 1,
    max: 200,
  }),
  /** Maximum number of connections from a node to its target. */
  connections: z.number().int().min(1).max(10_000).default(DEFAULT_CONNECTIONS),
  /** Maximum time in the queue of the node, in milliseconds. */
  queueWaitMs: z.number().int().min(0).max(60_000).default(DEFAULT_QUEUE_WAIT_MS),
  /** Duration over which the load of a new or recovered target rises to its full share, in milliseconds. */
  slowStartMs: z.number().int().min(0).max(600_000).default(DEFAULT_SLOW_START_MS),
  /** Path of the targets' health check, which sidecars use to detect their target. */
  healthCheckPath: z.string().startsWith('/').optional(),
});

export const policyResourceSchema = z.strictObject({
  kind: z.literal('Policy'),
  name: nameSchema,
  spec: policySpecSchema,
});

export const serviceResourceSchema = z.strictObject({
  kind: z.literal('Service'),
  name: nameSchema,
  spec: serviceSpecSchema,
});

const claimMemberSchema = z.strictObject({
  id: nameSchema,
  zone: nameSchema,
  /** Incarnation of the node's process when the view was declared. */
  incarnation: z.number().int(),
});

/** The nodes that store a service's claims of idempotency keys. Declared by control and read-only for operators. */
export const claimViewResourceSchema = z.strictObject({
  kind: z.literal('ClaimView'),
  name: nameSchema,
  spec: z.strictObject({
    /** Number of this view among those of the service, from 1. */
    epoch: z.number().int().min(1),
    members: z.array(claimMemberSchema),
    /** Members of the previous view, from which claims are transferred. */
    previousMembers: z.array(claimMemberSchema),
  }),
});

/**
 * A request that is not forwarded to targets because it crashes them; its name is the request's fingerprint. Declared by
 * control; operators can read and delete it.
 */
export const quarantineResourceSchema = z.strictObject({
  kind: z.literal('Quarantine'),
  name: nameSchema,
  spec: z.strictObject({
    /** False once the quarantine has expired: the request is forwarded again, and its next crash renews the quarantine. */
    inForce: z.boolean(),
    /** Time at which this state ends, in milliseconds since 1970 by the leader's clock. */
    until: z.number().int(),
    /** How many times the quarantine has been put in force. */
    terms: z.number().int().min(1),
  }),
});

/** A resource of any kind. */
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

/** Resource kinds that operators declare one by one, in the order in which the files of a folder are applied. */
export const DECLARED_KINDS: readonly ResourceKind[] = ['Service', 'Policy'];

/** Resource kinds that operators may delete. This includes quarantines, in case one blocks a harmless request. */
export const DELETABLE_KINDS: readonly ResourceKind[] = [...DECLARED_KINDS, 'Quarantine'];

export const RESOURCE_KINDS: readonly ResourceKind[] = [
  ...DECLARED_KINDS,
  'ClaimView',
  'Quarantine',
  'Route',
  'Ingress',
  'Group',
];

/** Settings of a service without a `Service` resource. */
export const DEFAULT_SERVICE_SPEC: ServiceSpec = serviceSpecSchema.parse({});

/** Finds faults within a policy that the schema cannot express. */
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

/** Returns all faults of `value` as a resource; empty if it is valid. */
export function resourceFaults(value: unknown): Fault[] {
  const faults = faultsOf(resourceSchema, value);
  if (faults.length > 0) return faults;
  return policyFaults(resourceSchema.parse(value));
}

/**
 * Parses a resource and applies defaults.
 * @throws ValidationError with all faults
 */
export function parseResource(value: unknown): Resource {
  return parseOrThrow(resourceSchema, value, 'resource');
}
