/**
 * Encodes sync responses. The packed configuration is cached by the follower's revision, so a large change is encoded and
 * compressed once for all followers at that revision.
 */
import {
  packConfiguration,
  type PackedConfiguration,
  type PackedSync,
} from '../sync/sync-codec.js';
import type { SyncRequest } from '../sync/sync-protocol.js';
import type { SyncResponder } from './sync-responder.js';

/** Maximum number of follower revisions cached; most followers are at one of the latest two. */
const MAX_CACHED_REVISIONS = 8;

export class SyncPacker {
  /** Packed configuration by the follower's revision. */
  private readonly cache = new Map<number, PackedConfiguration>();
  /** Revision of this replica for which the cache is valid. */
  private cachedRevision = -1;

  constructor(private readonly responder: SyncResponder) {}

  /** Packs everything that the follower does not have yet. */
  pack(request: SyncRequest): PackedSync {
    const configuration = this.configuration(request);
    return { configuration, ...this.responder.endpointUpdate(request) };
  }

  private configuration(request: SyncRequest): PackedConfiguration {
    const { revision } = this.responder;
    if (revision !== this.cachedRevision) this.cache.clear();
    this.cachedRevision = revision;
    const cached = this.cache.get(request.revision);
    if (cached !== undefined) return cached;
    const packed = packConfiguration(this.responder.configurationUpdate(request));
    this.cache.set(request.revision, packed);
    const [oldest] = this.cache.keys();
    if (this.cache.size > MAX_CACHED_REVISIONS && oldest !== undefined) this.cache.delete(oldest);
    return packed;
  }
}
