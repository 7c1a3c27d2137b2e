/** Schema of the settings of `shoredoor node`. */
import { z } from 'zod';
import { nameSchema } from '../policy/resource-schema.js';
import { followerShape, listenSchema, originSchema } from './shared-settings.js';

export const nodeSettingsSchema = z.strictObject({
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

export type NodeSettings = z.infer<typeof nodeSettingsSchema>;
