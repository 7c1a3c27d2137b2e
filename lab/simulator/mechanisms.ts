/**
 * Lab-only switches: each turns one mechanism off or swaps it for a loser of the weighing, so that a
 * scenario can show what the mechanism is for. The product has no such switches.
 */
import { z } from 'zod';

export const mechanismsSchema = z.strictObject({
  /** Limit algorithm of the nodes. */
  limiter: z.enum(['fixed', 'probe', 'unlimited']).default('probe'),
  sharing: z.enum(['share-first', 'importance-first']).default('share-first'),
  /** Whether callers refuse early what callees would refuse. */
  throttle: z.boolean().default(true),
  /** Whether retries are bounded over the chain; otherwise every hop may retry twice. */
  retryBound: z.boolean().default(true),
  /** Who remembers the keys of calls that may run at most once. */
  claims: z.enum(['quorum', 'local']).default('quorum'),
  /** Whether leaving nodes refuse and are passed over. */
  leaving: z.boolean().default(true),
  /** Whether a failed attempt knows if its request was written; otherwise it says it was not. */
  writtenKnown: z.boolean().default(true),
  /** Whether shoredoor is in the path at all. */
  shoredoor: z.boolean().default(true),
});

export type Mechanisms = z.infer<typeof mechanismsSchema>;
