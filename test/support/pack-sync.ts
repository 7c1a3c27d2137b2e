/** Encodes a sync response as a replica sends it. */
import { packConfiguration, type PackedSync } from '../../src/sync/sync-codec.js';
import type { SyncResponse } from '../../src/sync/sync-protocol.js';

export function packSync(response: SyncResponse): PackedSync {
  const { revision, resources, changes, ...endpointNews } = response;
  return { configuration: packConfiguration({ revision, resources, changes }), ...endpointNews };
}
