/**
 * Lab-only switches. Each disables one mechanism or replaces it by an alternative, so that a scenario can
 * show the failure that the mechanism prevents. The product has no such switches.
 */
import { z } from 'zod';

export const mechanismsSchema = z.strictObject({
  /** Concurrency limit algorithm of the nodes. */
  limiter: z.enum(['fixed', 'probe', 'unlimited']).default('probe'),
  sharing: z.enum(['share-first', 'importance-first']).default('share-first'),
  /** Whether callers refuse requests early that the callee would refuse as overloaded. */
  throttle: z.boolean().default(true),
  /** Whether retries are bounded over the whole call chain; otherwise every hop may retry twice. */
  retryBound: z.boolean().default(true),
  /** Where the idempotency keys of calls that may run at most once are stored. */
  claims: z.enum(['quorum', 'local']).default('quorum'),
  /** Whether leaving nodes refuse new calls. */
  leaving: z.boolean().default(true),
  /** Whether a failed attempt reports if its request was written; otherwise it always reports that it was not. */
  writtenKnown: z.boolean().default(true),
  /** Whether requests go through shoredoor at all. */
  shoredoor: z.boolean().default(true),
});

export type Mechanisms = z.infer<typeof mechanismsSchema>;
