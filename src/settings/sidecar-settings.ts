/** The settings of `shoredoor sidecar`, as the shared pieces, its addresses, its target, and the bounds of its deployment. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import { followerShape, listenSchema, originSchema, quotaRuleSchema } from './shared-settings.js';

/** Repeats at a service as a part of its first arrivals: a usual bound of retry budgets. */
const DEFAULT_RETRY_RATIO = 0.2;
/** Repeats besides, over all targets of a service, for services with few calls. */
const DEFAULT_RETRY_SLACK = 50;
/** Time over which a service's arrivals are counted, in milliseconds. */
const DEFAULT_RETRY_WINDOW_MS = 10_000;
/** The bound on repeats at a service where settings give none. */
export const DEFAULT_RETRY_BOUND = {
  ratio: DEFAULT_RETRY_RATIO,
  slack: DEFAULT_RETRY_SLACK,
  windowMs: DEFAULT_RETRY_WINDOW_MS,
};
/** Time after its last report for which a target is used, in milliseconds. */
const DEFAULT_TARGET_SILENT_MS = 6_000;

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
      ratio: z.number().min(0).max(1).default(DEFAULT_RETRY_RATIO),
      slack: z.number().min(0).max(1_000_000).default(DEFAULT_RETRY_SLACK),
      windowMs: z.number().min(1_000).max(600_000).default(DEFAULT_RETRY_WINDOW_MS),
    })
    .default(DEFAULT_RETRY_BOUND),
});

export type SidecarSettings = z.infer<typeof sidecarSettingsSchema>;
