/** The settings of `shoredoor node`, as the shared pieces, its service, its addresses and its target. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import { followerShape, listenSchema, originSchema } from './shared-settings.js';

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

export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
