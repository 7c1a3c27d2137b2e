/** The settings of each program. Unknown keys are refused. docs/reference/settings.md lists them. */
import { z } from 'zod';
import { LOG_LEVELS } from '../common/logger.js';
import { nameSchema } from '../policy/resource-schema.js';
import { DEFAULT_QUOTA_RULE } from '../quota/quota-rule.js';

const MAX_PORT = 65_535;
const MIN_TOKEN_LENGTH = 16;
const DEFAULT_DRAIN_MS = 2_000;
const DEFAULT_STOP_TIMEOUT_MS = 60_000;
const DEFAULT_MAX_IN_FLIGHT = 10_000;
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
const DEFAULT_ELECTION_TIMEOUT_MS = 1_000;
const DEFAULT_HEARTBEAT_INTERVAL_MS = 2_000;
const DEFAULT_MEMBER_LEASE_MS = 10_000;
/** Repeats at a service as a part of its first arrivals: a usual bound of retry budgets. */
const DEFAULT_REPEAT_RATIO = 0.2;
/** Repeats besides, over all targets of a service, for services with few calls. */
const DEFAULT_REPEAT_SLACK = 50;
/** Time over which a service's arrivals are counted, in milliseconds. */
const DEFAULT_REPEAT_WINDOW_MS = 10_000;
/** The bound on repeats at a service where settings give none. */
export const DEFAULT_RETRY_BOUND = {
  ratio: DEFAULT_REPEAT_RATIO,
  slack: DEFAULT_REPEAT_SLACK,
  windowMs: DEFAULT_REPEAT_WINDOW_MS,
};
const DEFAULT_TARGET_SILENT_MS = 6_000;

const originSchema = z
  .string()
  .regex(
    /^http:\/\/(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'must be http://ADDRESS:PORT with an IP address',
  );

/** `ADDRESS:PORT` as one text. */
const ADDRESS_AND_PORT = /^(?:(\d{1,3}(?:\.\d{1,3}){3})|\[([0-9a-fA-F:]+)\]):(\d{1,5})$/;

function splitAddress(value: unknown): unknown {
  const match = typeof value === 'string' ? ADDRESS_AND_PORT.exec(value) : null;
  if (match === null) return value;
  return { host: match[1] ?? match[2], port: Number(match[3]) };
}

/** An address to listen on: `{ host, port }`, or `ADDRESS:PORT`. */
const listenSchema = z.preprocess(
  splitAddress,
  z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()], 'must be an IP address').default('127.0.0.1'),
    port: z.number().int().min(0).max(MAX_PORT),
  }),
);

const tokenHashSchema = z
  .string()
  .regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash: 64 lower-case hexadecimal digits');

const linkTokenSchema = z
  .string()
  .min(MIN_TOKEN_LENGTH, `must have at least ${MIN_TOKEN_LENGTH} characters`);

const commonShape = {
  id: nameSchema,
  zone: nameSchema,
  /** Serves /metrics, /healthz and /readyz. */
  admin: listenSchema,
  /** Shared by all processes of the deployment. */
  linkToken: linkTokenSchema,
  logLevel: z.enum(LOG_LEVELS).default('info'),
  stop: z
    .strictObject({
      /** Time between turning unready and taking no more connections. */
      drainMs: z.number().int().min(0).max(600_000).default(DEFAULT_DRAIN_MS),
      /**
       * Time until the process is killed, where that is known: both other times are then parts of it.
       */
      graceMs: z.number().min(100).max(3_600_000).optional(),
      /** Longest time for calls under way to finish. */
      timeoutMs: z.number().int().min(0).max(3_600_000).default(DEFAULT_STOP_TIMEOUT_MS),
    })
    .default({ drainMs: DEFAULT_DRAIN_MS, timeoutMs: DEFAULT_STOP_TIMEOUT_MS }),
};

const followerShape = {
  ...commonShape,
  /** Origins of control replicas: all of them, or a few that know the others. */
  control: z.array(originSchema).min(1, 'must name at least one control replica'),
  /** Time between two heartbeats to control, in milliseconds. */
  heartbeatIntervalMs: z.number().int().min(100).max(60_000).default(DEFAULT_HEARTBEAT_INTERVAL_MS),
  limits: z
    .strictObject({
      maxInFlight: z.number().int().min(1).max(1_000_000).default(DEFAULT_MAX_IN_FLIGHT),
      maxBodyBytes: z
        .number()
        .int()
        .min(0)
        .max(2 ** 40)
        .default(DEFAULT_MAX_BODY_BYTES),
    })
    .default({ maxInFlight: DEFAULT_MAX_IN_FLIGHT, maxBodyBytes: DEFAULT_MAX_BODY_BYTES }),
};

/** Settings of `shoredoor edge`. */
export const edgeSettingsSchema = z.strictObject({
  ...followerShape,
  listen: listenSchema,
});

/** Settings of `shoredoor node`. */
export const nodeSettingsSchema = z.strictObject({
  ...followerShape,
  service: nameSchema,
  /** Where edges and other nodes call. */
  inbound: listenSchema,
  /** Origin that other processes reach the inbound side under; the bound one when absent. */
  advertise: originSchema.optional(),
  /** Where the target sends its own calls to other services. */
  outbound: listenSchema,
  /** The back end beside this node. */
  target: z.strictObject({ origin: originSchema }),
});

/** The bound on the requests of a group with a rate, in any window of time. */
const quotaRuleSchema = z
  .strictObject({
    windowMs: z.number().min(1_000).max(600_000),
    /** Part by which a group may run over what its rate and burst give in a window. */
    tolerance: z.number().min(0).max(1),
    /** Requests by which it may run over besides. */
    slack: z.number().min(0).max(1_000_000),
  })
  .default(DEFAULT_QUOTA_RULE);

/** Settings of `shoredoor sidecar`. */
export const sidecarSettingsSchema = z.strictObject({
  ...followerShape,
  /** The service of this machine: named to the targets of calls that begin here. */
  service: nameSchema,
  /** Where the sidecars of other machines call. */
  inbound: listenSchema,
  /** Origin that they reach the inbound side under; the bound one when absent. */
  advertise: originSchema.optional(),
  /** Where clients and the target of this machine call. */
  outbound: listenSchema,
  /** Where the target reports itself. */
  registration: listenSchema,
  /**
   * `ADDRESS:PORT` of the target of this machine, asked for its health at the start; without it the
   * target is unknown until it reports itself.
   */
  target: z
    .string()
    .regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/, 'must be ADDRESS:PORT')
    .nullish(),
  /** A target that has not reported itself for this long is not used, in milliseconds. */
  targetSilentMs: z.number().int().min(500).max(600_000).default(DEFAULT_TARGET_SILENT_MS),
  /**
   * What an answer without a length that ends with its connection is: `whole`, or `cut-off` where
   * targets give a length to every sound answer.
   */
  unframedAnswers: z.enum(['whole', 'cut-off']).default('whole'),
  /** Whether clients read fractions of a second in `Retry-After`; RFC 9110 knows whole ones only. */
  fractionalRetryAfter: z.boolean().default(false),
  /**
   * Where keys may be taken away: milliseconds after the acknowledgement of that within which no request runs under
   * them, on any machine. Without it a machine that control does not reach goes on with the keys that it knows.
   */
  revocation: z.strictObject({ withinMs: z.number().min(100).max(3_600_000) }).optional(),
  quota: quotaRuleSchema,
  /** Repeats that a service may see, over all its targets: a part of its first arrivals, and some besides. */
  retries: z
    .strictObject({
      ratio: z.number().min(0).max(1).default(DEFAULT_REPEAT_RATIO),
      slack: z.number().min(0).max(1_000_000).default(DEFAULT_REPEAT_SLACK),
      windowMs: z.number().min(1_000).max(600_000).default(DEFAULT_REPEAT_WINDOW_MS),
    })
    .default(DEFAULT_RETRY_BOUND),
});

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
        intervalMs: z.number().int().min(100).max(600_000).default(2_000),
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

export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
export type ControlSettings = z.infer<typeof controlSettingsSchema>;
