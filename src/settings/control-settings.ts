/** The settings of `shoredoor control`: its store, the replicas that it forms the store with, and whom it answers. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import { commonShape, listenSchema, originSchema, quotaRuleSchema } from './shared-settings.js';

/** Shortest time without a leader before an election, in milliseconds. */
const DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
/** Lease of a member, in milliseconds: five heartbeats at their default interval. */
const DEFAULT_MEMBER_LEASE_MS = 10_000;
/** Time between two readings of the platform's list of machines, in milliseconds. */
const DEFAULT_PLATFORM_LIST_INTERVAL_MS = 2_000;

const tokenHashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash: 64 lower-case hexadecimal digits');

const replicaSchema = z.strictObject({
  id: nameSchema,
  origin: originSchema,
  /** A learner holds a copy and answers followers, and never votes. */
  role: z.enum(['voter', 'learner']).default('voter'),
});

/** Settings of `shoredoor control`. */
export const controlSettingsSchema = z
  .strictObject({
    ...commonShape,
    listen: listenSchema,
    /** Holds the log and snapshots. */
    dataDir: z.string().min(1, 'must be a folder'),
    /**
     * The replicas that form the store when it is first started, this one included. Alternatively
     * `seeds`.
     */
    replicas: z.array(replicaSchema).min(1, 'must name at least this replica').optional(),
    /**
     * Origins of a few replicas, for deployments in which no process knows all. The seeds form the
     * store together at its first start; every other replica joins through them.
     */
    seeds: z.array(originSchema).min(1).optional(),
    /** Origin that other replicas reach this one under; needed with `seeds`. */
    advertise: originSchema.optional(),
    /** With `seeds`: this is the first start of the whole deployment. */
    bootstrap: z.boolean().default(false),
    /** Most voters; replicas beyond them stand by. No bound when absent. */
    voters: z.number().int().min(1).max(15).optional(),
    /** Members are dropped from the list of endpoints after this long without a heartbeat. */
    memberLeaseMs: z.number().int().min(500).max(600_000).default(DEFAULT_MEMBER_LEASE_MS),
    quota: quotaRuleSchema,
    /** Whether nodes keep claims of idempotency keys, in views that control declares. */
    claims: z.boolean().default(true),
    /** `token` asks operators for a bearer token; `open` trusts whoever reaches the address. */
    declarations: z.enum(['token', 'open']).default('token'),
    /**
     * Set for a replica that takes the place of a lost one: it starts empty, learns from the others
     * and does not vote until it is made a voter.
     */
    join: z.boolean().default(false),
    electionTimeoutMs: z.number().int().min(100).max(60_000).default(DEFAULT_ELECTION_TIMEOUT_MS),
    tokens: z
      .array(
        z.strictObject({
          name: nameSchema,
          role: z.enum(['read', 'write']),
          tokenHash: tokenHashSchema,
        }),
      )
      .default([]),
    /** URL of the platform's list of machines, and how often it is read. */
    platformList: z
      .strictObject({
        url: z.string().regex(/^http:\/\//, 'must be an http:// URL'),
        intervalMs: z
          .number()
          .int()
          .min(100)
          .max(600_000)
          .default(DEFAULT_PLATFORM_LIST_INTERVAL_MS),
      })
      .optional(),
  })
  .refine(({ replicas, seeds }) => (replicas === undefined) !== (seeds === undefined), {
    path: ['replicas'],
    message: 'needs either replicas or seeds',
  })
  .refine(({ seeds, advertise }) => seeds === undefined || advertise !== undefined, {
    path: ['advertise'],
    message: 'is needed with seeds',
  })
  .refine(({ replicas, id }) => replicas?.some((replica) => replica.id === id) ?? true, {
    path: ['replicas'],
    message: 'must include the replica whose settings these are',
  });

export type ControlSettings = z.infer<typeof controlSettingsSchema>;
