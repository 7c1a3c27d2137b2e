/** The settings of `shoredoor edge`, as the shared pieces and its one address. */
import { z } from 'zod';
import { followerShape, listenSchema } from './shared-settings.js';

/** Settings of `shoredoor edge`. */
export const edgeSettingsSchema = z.strictObject({
  ...followerShape,
  /** Where callers from outside call. */
  listen: listenSchema,
});

export type EdgeSettings = z.infer<typeof edgeSettingsSchema>;
