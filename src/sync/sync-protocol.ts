/**
 * The internal protocol between followers (nodes, edges and sidecars, not the Raft role) and control replicas: msgpack
 * bodies over HTTP POST, authenticated by the deployment's link token. `sync` is a long poll that is answered when the
 * configuration, the endpoints or the suspects have changed.
 */
import type { EndpointRecord } from '../call/endpoint.js';
import type { SuspectList } from '../quarantine/crash-report.js';
import type { ResourceChange, StoredResource } from '../policy/stored-resource.js';

export const HEARTBEAT_PATH = '/internal/heartbeat';
export const SYNC_PATH = '/internal/sync';

/** Maximum time before a replica answers a sync request without changes, in milliseconds. */
export const SYNC_HOLD_MS = 10_000;

/** The revision of a process that has not received a configuration yet. */
export const NO_REVISION = -1;

/** A version of the endpoint list of one replica. Versions are only comparable within one incarnation of a replica. */
export interface EndpointPosition {
  /** Identifies the incarnation of the replica. */
  readonly source: string;
  readonly version: number;
}

/** The state of a follower, from which a replica determines the changes to send. */
export interface SyncRequest {
  /** Applied revision, or {@link NO_REVISION}. */
  readonly revision: number;
  /** The replica incarnation that `endpointVersion` belongs to. */
  readonly endpointSource: string;
  readonly endpointVersion: number;
  /** Version of that replica's suspect list; absent if the process does not support it. */
  readonly suspectVersion?: number;
}

/** The changes since the state of a follower. */
export interface SyncResponse {
  /** Revision of the follower after applying the response. */
  readonly revision: number;
  /** All resources, if the follower is too far behind for incremental changes. */
  readonly resources: readonly StoredResource[] | undefined;
  readonly changes: readonly ResourceChange[];
  readonly endpointSource: string;
  readonly endpointVersion: number;
  /** All endpoints, if the follower has none of this source or is too far behind for incremental changes. */
  readonly endpoints: readonly EndpointRecord[] | undefined;
  readonly endpointChanges: readonly EndpointChange[];
  /** Requests that are suspected of crashing targets; absent if the list of the follower is up to date. */
  readonly suspects?: SuspectList;
}

/** One change of the endpoint list. */
export interface EndpointChange {
  readonly version: number;
  readonly id: string;
  /** The endpoint after the change; undefined if it was removed. */
  readonly record: EndpointRecord | undefined;
}
