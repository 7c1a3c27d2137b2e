/**
 * The pieces of settings that several programs share: addresses, identity, stop, the link to control, and the bound on
 * quotas. Owns their forms, bounds and defaults; relies on zod alone. Names, forms and defaults are what deployed files
 * carry, so none of them may change (test/settings pins them).
 */
import { z } from 'zod';
import { LOG_LEVELS } from '../common/logger.js';
import { nameSchema } from '../policy/resource-schema.js';
import { DEFAULT_QUOTA_RULE } from '../quota/quota-rule.js';

/** Highest port number of TCP. */
const MAX_PORT = 65_535;
/** Shortest link token, in characters: long enough not to be guessed. */
const MIN_TOKEN_LENGTH = 16;
/** Time between turning unready and taking no more connections, in milliseconds. */
const DEFAULT_DRAIN_MS = 2_000;
/** Longest time for calls under way to finish, in milliseconds. */
const DEFAULT_STOP_TIMEOUT_MS = 60_000;
/** Most requests under way in one process: a guard of memory far above what one process serves. */
const DEFAULT_MAX_IN_FLIGHT = 10_000;
/** Longest request body, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Time between two heartbeats to control, in milliseconds: a fifth of the default lease of a member. */
const DEFAULT_HEARTBEAT_INTERVAL_MS = 2_000;

/** Origin of a process: an IP address, as names would have to be looked up at every start. */
export const originSchema = z
  .string()
  .regex(
    /^http:\/\/(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'must be http://ADDRESS:PORT with an IP address',
  );

/** `ADDRESS:PORT` as one text. */
const ADDRESS_AND_PORT = /^(?:(\d{1,3}(?:\.\d{1,3}){3})|\[([0-9a-fA-F:]+)\]):(\d{1,5})$/;

function parseAddress(value: unknown): unknown {
  const match = typeof value === 'string' ? ADDRESS_AND_PORT.exec(value) : null;
  if (match === null) return value;
  return { host: match[1] ?? match[2], port: Number(match[3]) };
}

/** An address to listen on: `{ host, port }`, or `ADDRESS:PORT`. */
export const listenSchema = z.preprocess(
  parseAddress,
  z.strictObject({
    host: z.union([z.ipv4(), z.ipv6()], 'must be an IP address').default('127.0.0.1'),
    port: z.number().int().min(0).max(MAX_PORT),
  }),
);

const linkTokenSchema = z
  .string()
  .min(MIN_TOKEN_LENGTH, `must have at least ${MIN_TOKEN_LENGTH} characters`);

/** Settings of every program. */
export const commonShape = {
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

/** Settings of every program that follows control: edge, node and sidecar. */
export const followerShape = {
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

/** The bound on the requests of a group with a rate, in any window of time. */
export const quotaRuleSchema = z
  .strictObject({
    windowMs: z.number().min(1_000).max(600_000),
    /** Part by which a group may run over what its rate and burst give in a window. */
    tolerance: z.number().min(0).max(1),
    /** Requests by which it may run over besides. */
    slack: z.number().min(0).max(1_000_000),
  })
  .default(DEFAULT_QUOTA_RULE);

/** What every program that follows control is told. */
export type FollowerSettings = z.infer<z.ZodObject<typeof followerShape>>;
