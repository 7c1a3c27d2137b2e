/**
 * Settings schemas shared by several programs. Deployed files depend on their names, forms and defaults, so these must not
 * change (checked in test/settings).
 */
import { isIPv4 } from 'node:net';
import { z } from 'zod';
import { LOG_LEVELS } from '../common/logger.js';
import { nameSchema } from '../policy/resource-schema.js';
import { DEFAULT_QUOTA_RULE } from '../quota/quota-rule.js';

const MAX_PORT = 65_535;
/** Minimum length of a link token, in characters, against guessing. */
const MIN_TOKEN_LENGTH = 16;
/** Time between becoming unready and accepting no more connections, in milliseconds. */
const DEFAULT_DRAIN_MS = 2_000;
/** Timeout for calls in flight to finish, in milliseconds. */
const DEFAULT_STOP_TIMEOUT_MS = 60_000;
/** Maximum requests in flight in one process, to protect its memory; far above normal load. */
const DEFAULT_MAX_IN_FLIGHT = 10_000;
/** Maximum size of a request body, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Interval of heartbeats to control, in milliseconds: a fifth of the default lease of a member. */
const DEFAULT_HEARTBEAT_INTERVAL_MS = 2_000;

const ORIGIN_FORM = 'must be http://ADDRESS:PORT with an IP address';

/** Origin of a process. Requires an IP address, so that a start does not depend on DNS. */
export const originSchema = z
  .string()
  .regex(/^http:\/\/(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, {
    abort: true,
    error: ORIGIN_FORM,
  })
  .refine((origin) => URL.canParse(origin), ORIGIN_FORM);

/** Matches `ADDRESS:PORT`. */
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

/** An address to listen on, as parsed. */
type ListenSetting = z.infer<typeof listenSchema>;

/** Whether binding the first host also binds the second one. */
function covers(host: string, other: string): boolean {
  return host === other || host === '::' || (host === '0.0.0.0' && isIPv4(other));
}

function overlaps(one: ListenSetting, other: ListenSetting): boolean {
  if (one.port === 0 || one.port !== other.port) return false;
  return covers(one.host, other.host) || covers(other.host, one.host);
}

/** Refinement of a schema: refuses settings that name the same address twice. */
export function requireDistinctAddresses<Name extends string>(...names: readonly Name[]) {
  return (settings: Readonly<Record<Name, ListenSetting>>, context: z.RefinementCtx): void => {
    names.forEach((name, index) => {
      const same = names.slice(0, index).find((other) => overlaps(settings[name], settings[other]));
      if (same === undefined) return;
      context.addIssue({ code: 'custom', path: [name], message: `has the address of '${same}'` });
    });
  };
}

const linkTokenSchema = z
  .string()
  .min(MIN_TOKEN_LENGTH, `must have at least ${MIN_TOKEN_LENGTH} characters`);

/** Settings common to all programs. */
export const commonShape = {
  id: nameSchema,
  zone: nameSchema,
  /** Address of /metrics, /healthz and /readyz. */
  admin: listenSchema,
  /** Secret shared by all processes of the deployment. */
  linkToken: linkTokenSchema,
  logLevel: z.enum(LOG_LEVELS).default('info'),
  stop: z
    .strictObject({
      /** Time between becoming unready and accepting no more connections. */
      drainMs: z.number().int().min(0).max(600_000).default(DEFAULT_DRAIN_MS),
      /** Time until the process is killed, if known; replaces the other two settings. */
      graceMs: z.number().min(100).max(3_600_000).optional(),
      /** Timeout for calls in flight to finish. */
      timeoutMs: z.number().int().min(0).max(3_600_000).default(DEFAULT_STOP_TIMEOUT_MS),
    })
    .default({ drainMs: DEFAULT_DRAIN_MS, timeoutMs: DEFAULT_STOP_TIMEOUT_MS }),
};

/** Settings common to the programs that follow control: edge, node and sidecar. */
export const followerShape = {
  ...commonShape,
  /** Origins of all control replicas, or of some that know the others. */
  control: z.array(originSchema).min(1, 'must name at least one control replica'),
  /** Interval of heartbeats to control, in milliseconds. */
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

/** Limit on the requests of a group with a rate, in any window of time. */
export const quotaRuleSchema = z
  .strictObject({
    windowMs: z.number().min(1_000).max(600_000),
    /** Fraction by which a group may exceed the requests that its rate and burst allow in a window. */
    tolerance: z.number().min(0).max(1),
    /** Number of requests by which it may exceed them in addition. */
    slack: z.number().min(0).max(1_000_000),
  })
  .default(DEFAULT_QUOTA_RULE);

/** Settings of any program that follows control. */
export type FollowerSettings = z.infer<z.ZodObject<typeof followerShape>>;
