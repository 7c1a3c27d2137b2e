/** Schema of the settings of `shoredoor edge`. */
import { z } from 'zod';
import { followerShape, listenSchema } from './shared-settings.js';

export const edgeSettingsSchema = z.strictObject({
  ...followerShape,
  /** Address for external callers. */
  listen: listenSchema,
});

export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
