/**
 * The `Group` resource of a declared set: callers who present one of its API keys, with the rank of their
 * requests and the rate that they share over the whole fleet. Owns the form and its faults; `group-table.ts` compiles it.
 */
import { z } from 'zod';
import type { Fault } from '../common/errors.js';

// Bounds against mistakes, in characters and requests a second.
const MAX_NAME_LENGTH = 200;
const MAX_KEY_LENGTH = 1_000;
const MAX_RATE = 1e9;

/** The names of the resources of a declared set. */
export const declaredNameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** A group of callers. Fields that this version does not know are kept. */
export const groupResourceSchema = z.strictObject({
  kind: z.literal('Group'),
  name: declaredNameSchema,
  spec: z.looseObject({
    /** The API keys of its callers. Secrets: no log line, metric or error holds one. */
    keys: z.array(z.string().min(1).max(MAX_KEY_LENGTH)).default([]),
    /** 0 is the most urgent; comes before the rank of a route. Default 0. */
    rank: z.number().int().min(0).optional(),
    /** Requests a second over the whole fleet; no limit where it is 0 or absent. */
    ratePerSecond: z.number().min(0).max(MAX_RATE).nullish(),
    /** Requests that may come at once besides the rate. Default 0. */
    burst: z.number().min(0).max(MAX_RATE).nullish(),
  }),
});

/** A group as it was declared: sets are kept as they came, so defaults of the schema are not filled in. */
export type GroupResource = z.input<typeof groupResourceSchema>;

/** A group and its place among the resources of a set. */
export interface IndexedGroup {
  readonly index: number;
  readonly group: GroupResource;
}

/** Keys that two groups hold. The faults name the groups, not the keys. */
export function sharedKeyFaults(groups: readonly IndexedGroup[]): Fault[] {
  const owners = new Map<string, string>();
  const faults: Fault[] = [];
  for (const { index, group } of groups) {
    for (const key of group.spec.keys ?? []) {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== group.name) {
        const message = `shares an API key with Group '${owner}'`;
        faults.push({ path: `resources[${index}].spec.keys`, message });
      }
      owners.set(key, group.name);
    }
  }
  return faults;
}
