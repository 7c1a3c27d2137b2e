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
const MAX_KEPT = 8;

export class SyncPacker {
  /** Packed news by the follower's revision. */
  private readonly packed = new Map<number, PackedConfiguration>();
  /** Revision that the packed news lead to. */
  private packedRevision = -1;

  constructor(private readonly responder: SyncResponder) {}

  /** Everything that the follower does not have. */
  pack(request: SyncRequest): PackedSync {
    const configuration = this.configuration(request);
    return { configuration, ...this.responder.endpointNews(request) };
  }

  private configuration(request: SyncRequest): PackedConfiguration {
    const { revision } = this.responder;
    if (revision !== this.packedRevision) this.packed.clear();
    this.packedRevision = revision;
    const kept = this.packed.get(request.revision);
    if (kept !== undefined) return kept;
    const packed = packConfiguration(this.responder.configurationNews(request));
    this.packed.set(request.revision, packed);
    const [oldest] = this.packed.keys();
    if (this.packed.size > MAX_KEPT && oldest !== undefined) this.packed.delete(oldest);
    return packed;
  }
}
