/**
 * The internal protocol between followers (nodes, edges and sidecars, not the Raft role) and control replicas: msgpack bodies
 * over HTTP POST, with the deployment's link token. `sync` is a long poll that answers when there is
 * something new, so its cost follows changes and not the size of the fleet.
 */
import type { EndpointRecord } from '../call/endpoint.js';
import type { SuspectList } from '../quarantine/crash-report.js';
import type { ResourceChange, StoredResource } from '../policy/stored-resource.js';

export const HEARTBEAT_PATH = '/internal/heartbeat';
export const SYNC_PATH = '/internal/sync';

/** Longest time a replica holds a sync request, in milliseconds. */
export const SYNC_HOLD_MS = 10_000;

/** The revision of a process that has just started and has none. */
export const NO_REVISION = -1;

/** A place in the endpoint list of one replica: versions count from each start of a replica anew. */
export interface EndpointPosition {
  /** Names the replica and its start. */
  readonly source: string;
  readonly version: number;
}

/** What a follower has. */
export interface SyncRequest {
  /** Applied revision, or {@link NO_REVISION}. */
  readonly revision: number;
  /** Replica and its incarnation that `endpointVersion` counts at. */
  readonly endpointSource: string;
  readonly endpointVersion: number;
  /** Version of that replica's list of suspects; absent from processes that do not know it. */
  readonly suspectVersion?: number;
}

/** News for a follower. */
export interface SyncResponse {
  /** Revision that the follower is at after applying the answer. */
  readonly revision: number;
  /** All resources, when the follower is too far behind for changes. */
  readonly resources: readonly StoredResource[] | undefined;
  readonly changes: readonly ResourceChange[];
  readonly endpointSource: string;
  readonly endpointVersion: number;
  /** All endpoints, when the follower has none from this source or is too far behind. */
  readonly endpoints: readonly EndpointRecord[] | undefined;
  readonly endpointChanges: readonly EndpointChange[];
  /** Requests under which targets have crashed; absent where the follower has this list. */
  readonly suspects?: SuspectList;
}

/** One change of the endpoint list. */
export interface EndpointChange {
  readonly version: number;
  readonly id: string;
  /** The endpoint after the change; undefined when it is gone. */
  readonly record: EndpointRecord | undefined;
}
