/** Schema of the settings of `shoredoor control`. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import {
  commonShape,
  listenSchema,
  originSchema,
  quotaRuleSchema,
  requireDistinctAddresses,
} from './shared-settings.js';

/** Minimum time without a leader before an election, in milliseconds. */
const DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
/** Lease of a member, in milliseconds: five times the default heartbeat interval. */
const DEFAULT_MEMBER_LEASE_MS = 10_000;
/** Interval for fetching the platform's list of machines, in milliseconds. */
const DEFAULT_PLATFORM_LIST_INTERVAL_MS = 2_000;

const tokenHashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash: 64 lower-case hexadecimal digits');

const replicaSchema = z.strictObject({
  id: nameSchema,
  origin: originSchema,
  /** A learner replicates the store and serves followers, but never votes. */
  role: z.enum(['voter', 'learner']).default('voter'),
});

export const controlSettingsSchema = z
  .strictObject({
    ...commonShape,
    listen: listenSchema,
    /** Directory of the log and the snapshots. */
    dataDir: z.string().min(1, 'must be a folder'),
    /** Initial replicas of the store, including this one. Exclusive with `seeds`. */
    replicas: z.array(replicaSchema).min(1, 'must name at least this replica').optional(),
    /**
     * Origins of some replicas, for deployments in which no process knows all of them. The seeds
     * form the store at its first start; every other replica joins through them.
     */
    seeds: z.array(originSchema).min(1).optional(),
    /** Origin at which other replicas reach this one; required with `seeds`. */
    advertise: originSchema.optional(),
    /** With `seeds`: whether this is the first start of the whole deployment. */
    bootstrap: z.boolean().default(false),
    /** Maximum number of voters; further replicas are standbys. Unlimited if absent. */
    voters: z.number().int().min(1).max(15).optional(),
    /**
     * Number of replicas that may be lost at once, with their disks. The first change is accepted once the set has the voters
     * to bear that, twice as many and one, or after three election timeouts. Default: what `voters` can bear, 0 without it.
     */
    lossTolerance: z.number().int().min(0).max(7).optional(),
    /** Members are removed from the list of endpoints after this time without a heartbeat. */
    memberLeaseMs: z.number().int().min(500).max(600_000).default(DEFAULT_MEMBER_LEASE_MS),
    quota: quotaRuleSchema,
    /** Whether nodes keep claims of idempotency keys, in views defined by control. */
    claims: z.boolean().default(true),
    /** `token` requires a bearer token of operators; `open` accepts any client. */
    declarations: z.enum(['token', 'open']).default('token'),
    /**
     * Whether this replica replaces a lost one: it starts empty, replicates from the others and does
     * not vote until it is promoted to a voter.
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
    /** URL of the platform's list of machines, and the interval for fetching it. */
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
  })
  .superRefine(requireDistinctAddresses('listen', 'admin'));

export type ControlSettings = z.infer<typeof controlSettingsSchema>;
