/** Schema of the settings of `shoredoor edge`. */
import { z } from 'zod';
import { followerShape, listenSchema, requireDistinctAddresses } from './shared-settings.js';

const edgeFieldsSchema = z.strictObject({
  ...followerShape,
  /** Address for external callers. */
  listen: listenSchema,
});

export const edgeSettingsSchema = edgeFieldsSchema.superRefine(
  requireDistinctAddresses('listen', 'admin'),
);

export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
