/** Schema of the settings of `shoredoor node`. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import {
  followerShape,
  listenSchema,
  originSchema,
  requireDistinctAddresses,
} from './shared-settings.js';

const nodeFieldsSchema = z.strictObject({
  ...followerShape,
  service: nameSchema,
  /** Address for edges and other nodes. */
  inbound: listenSchema,
  /** Origin at which other processes reach the inbound side; defaults to the bound address. */
  advertise: originSchema.optional(),
  /** Address for the target's own calls to other services. */
  outbound: listenSchema,
  /** The backend that this node serves. */
  target: z.strictObject({ origin: originSchema }),
});

export const nodeSettingsSchema = nodeFieldsSchema.superRefine(
  requireDistinctAddresses('inbound', 'outbound', 'admin'),
);

export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
