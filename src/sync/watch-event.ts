/** The events of `GET /v1/watch`, sent as JSON lines. */
import type { ResourceChange } from '../policy/stored-resource.js';

/** One event of a watch. */
export type WatchEvent =
  | { readonly type: 'change'; readonly change: ResourceChange }
  /** Keep-alive without a change; the stream is up to date with this revision. */
  | { readonly type: 'bookmark'; readonly revision: number; readonly inForceRevision: number }
  /** Changes were missed: the client must list again and watch from the revision of the list. */
  | { readonly type: 'relist' };
