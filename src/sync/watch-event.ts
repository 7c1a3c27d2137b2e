/** The lines of `GET /v1/watch`: JSON, one event a line. Types alone. */
import type { ResourceChange } from '../policy/stored-resource.js';

/** A line of a watch. */
export type WatchEvent =
  | { readonly type: 'change'; readonly change: ResourceChange }
  /** Nothing has changed; the stream is alive and stands at this revision. */
  | { readonly type: 'bookmark'; readonly revision: number; readonly inForceRevision: number }
  /** Changes were lost: list again, then watch from the list's revision. */
  | { readonly type: 'relist' };
