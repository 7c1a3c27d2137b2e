/**
 * Packs the answers to syncs; followers at the same revision get the same bytes, so that a large change is encoded and compressed
 * once for all of them. Owns those bytes until the next revision.
 */
import {
  packConfiguration,
  type PackedConfiguration,
  type PackedSync,
} from '../sync/sync-codec.js';
import type { SyncRequest } from '../sync/sync-protocol.js';
import type { SyncResponder } from './sync-responder.js';

/** Revisions of followers for which the packed news are kept: most are at the newest one or two. */
const MAX_CACHED_REVISIONS = 8;

export class SyncPacker {
  /** Packed news by the follower's revision. */
  private readonly cache = new Map<number, PackedConfiguration>();
  /** Revision that the packed news lead to. */
  private cachedRevision = -1;

  constructor(private readonly responder: SyncResponder) {}

  /** Everything that the follower does not have. */
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
