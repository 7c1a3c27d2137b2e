/**
 * Schema of the `Group` resource: callers that are identified by API keys, the rank of their requests and their shared
 * rate limit across the fleet.
 */
import { z } from 'zod';
import type { Fault } from '../common/errors.js';

// Upper bounds that reject mistyped values: characters, and requests per second.
const MAX_NAME_LENGTH = 200;
const MAX_KEY_LENGTH = 1_000;
const MAX_RATE = 1e9;

/** Name of a resource in a declared set. */
export const declaredNameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** A group of callers. Unknown fields of its spec are kept. */
export const groupResourceSchema = z.strictObject({
  kind: z.literal('Group'),
  name: declaredNameSchema,
  spec: z.looseObject({
    /** API keys of the callers. These are secrets and must not appear in logs, metrics or errors. */
    keys: z.array(z.string().min(1).max(MAX_KEY_LENGTH)).default([]),
    /** 0 is the most urgent; takes precedence over the rank of the route. Default 0. */
    rank: z.number().int().min(0).optional(),
    /** Requests per second across the fleet; no limit if 0 or absent. */
    ratePerSecond: z.number().min(0).max(MAX_RATE).nullish(),
    /** Requests allowed at once in addition to the rate. Default 0. */
    burst: z.number().min(0).max(MAX_RATE).nullish(),
  }),
});

/** A group as declared. Sets are stored unchanged, so the schema's defaults are not applied. */
export type GroupResource = z.input<typeof groupResourceSchema>;

/** A group and its index in the resources of the set. */
export interface IndexedGroup {
  readonly index: number;
  readonly group: GroupResource;
}

/** Finds API keys that belong to more than one group. The faults contain the names of the groups, not the keys. */
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
