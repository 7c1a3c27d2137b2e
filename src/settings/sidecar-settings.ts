/** Schema of the settings of `shoredoor sidecar`. */
import { z } from 'zod';
import { isAddressAndPort } from '../common/network-address.js';
import { nameSchema } from '../policy/resource-schema.js';
import {
  followerShape,
  listenSchema,
  originSchema,
  quotaRuleSchema,
  requireDistinctAddresses,
} from './shared-settings.js';

/** Allowed repeats (attempts after one that may have arrived) at a service, as a fraction of its first arrivals. */
const DEFAULT_RETRY_RATIO = 0.2;
/** Additional repeats over all targets of a service, for services with few calls. */
const DEFAULT_RETRY_SLACK = 50;
/** Window in which the arrivals of a service are counted, in milliseconds. */
const DEFAULT_RETRY_WINDOW_MS = 10_000;
/** Default limit on repeats at a service. */
export const DEFAULT_RETRY_BOUND = {
  ratio: DEFAULT_RETRY_RATIO,
  slack: DEFAULT_RETRY_SLACK,
  windowMs: DEFAULT_RETRY_WINDOW_MS,
};
/** Time after which a target that has not reported is no longer used, in milliseconds. */
const DEFAULT_TARGET_SILENT_MS = 6_000;

const sidecarFieldsSchema = z.strictObject({
  ...followerShape,
  /** Service of this machine; sent to the targets of calls that originate here. */
  service: nameSchema,
  /** Address for the sidecars of other machines. */
  inbound: listenSchema,
  /** Origin at which they reach the inbound side; defaults to the bound address. */
  advertise: originSchema.optional(),
  /** Address for clients and for calls of this machine's target. */
  outbound: listenSchema,
  /** Address at which the target registers. */
  registration: listenSchema,
  /**
   * `ADDRESS:PORT` of this machine's target, for a health check at the start. If absent, the target
   * is unknown until it registers.
   */
  target: z
    .string()
    .regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/, {
      abort: true,
      error: 'must be ADDRESS:PORT',
    })
    .refine(isAddressAndPort, 'must be ADDRESS:PORT')
    .nullish(),
  /** Time after which a target that has not reported is no longer used, in milliseconds. */
  targetSilentMs: z.number().int().min(500).max(600_000).default(DEFAULT_TARGET_SILENT_MS),
  /**
   * How to treat an answer without a length that ends with its connection: as `whole`, or as
   * `cut-off` if targets send a length with every complete answer.
   */
  unframedAnswers: z.enum(['whole', 'cut-off']).default('whole'),
  /** Whether clients accept fractions of a second in `Retry-After`; RFC 9110 allows integers only. */
  fractionalRetryAfter: z.boolean().default(false),
  /**
   * Whether requests are refused at their first hop, by rank, while a service on their path has no room for all of them. All
   * sidecars of a deployment tell which service that is.
   */
  firstHopRoom: z.boolean().default(false),
  /**
   * For deployments that revoke API keys: milliseconds after the acknowledgement of a revocation from which no machine
   * runs requests with the revoked key. If absent, a machine without contact to control keeps accepting the keys it knows.
   */
  revocation: z.strictObject({ withinMs: z.number().min(100).max(3_600_000) }).optional(),
  quota: quotaRuleSchema,
  /** Limit on repeats at a service, over all its targets: a fraction of its first arrivals plus a slack. */
  retries: z
    .strictObject({
      ratio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
      slack: z.number().min(0).max(1_000_000).default(DEFAULT_RETRY_SLACK),
      windowMs: z.number().min(1_000).max(600_000).default(DEFAULT_RETRY_WINDOW_MS),
    })
    .default(DEFAULT_RETRY_BOUND),
});

export const sidecarSettingsSchema = sidecarFieldsSchema.superRefine(
  requireDistinctAddresses('inbound', 'outbound', 'registration', 'admin'),
);

export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
