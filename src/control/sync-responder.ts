/** Builds sync responses for followers from the store, the members and the crash evidence of a control replica. */
import type { Clock } from '../common/clock.js';
import type { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { MemberTable } from './member-table.js';
import type { ResourceStore } from './resource-store.js';
import type { ConfigurationUpdate, EndpointUpdate } from '../sync/sync-codec.js';
import {
  NO_REVISION,
  type EndpointPosition,
  type SyncRequest,
  type SyncResponse,
} from '../sync/sync-protocol.js';

export class SyncResponder {
  /** @param sourceId identifies this replica and its start; sent as `endpointSource` */
  constructor(
    private readonly clock: Clock,
    private readonly store: ResourceStore,
    private readonly members: MemberTable,
    private readonly sourceId: string,
    private readonly evidence: CrashEvidence,
  ) {}

  /** Source and version of this replica's endpoint list. */
  get endpointPosition(): EndpointPosition {
    return { source: this.sourceId, version: this.members.endpointVersion };
  }

  /**
   * Whether a read barrier is needed before the response: a follower that has just started has no revision with which to
   * detect a stale response.
   */
  needsReadBarrier(request: SyncRequest): boolean {
    return request.revision === NO_REVISION;
  }

  /** Whether there is anything that the follower does not have yet. */
  hasUpdate(request: SyncRequest): boolean {
    const { store, members, sourceId } = this;
    if (store.revision > request.revision) return true;
    if (request.endpointSource === sourceId) {
      return members.endpointVersion !== request.endpointVersion || this.hasSuspectUpdate(request);
    }
    return this.mayListEndpoints(request);
  }

  /**
   * Whether to send the whole endpoint list to a follower of another source. Shortly after its start this replica's list is
   * incomplete, so only followers without a list receive it.
   */
  private mayListEndpoints(request: SyncRequest): boolean {
    const { members, clock } = this;
    return request.endpointSource === '' || members.isComplete(clock.now());
  }

  private hasSuspectUpdate({ suspectVersion }: SyncRequest): boolean {
    return suspectVersion !== undefined && suspectVersion !== this.evidence.suspectVersion;
  }

  /** Builds a response with everything that the follower does not have yet. */
  buildResponse(request: SyncRequest): SyncResponse {
    return { ...this.configurationUpdate(request), ...this.endpointUpdate(request) };
  }

  /** Revision of the configuration of this replica. */
  get revision(): number {
    return this.store.revision;
  }

  /** Configuration changes, or all resources, that the follower does not have yet. */
  configurationUpdate(request: SyncRequest): ConfigurationUpdate {
    const { store } = this;
    const { revision } = store;
    if (request.revision >= revision) {
      return { revision, resources: undefined, changes: [] };
    }
    const isFresh = request.revision === NO_REVISION;
    const changes = isFresh ? undefined : store.changesSince(request.revision);
    if (changes !== undefined) return { revision, resources: undefined, changes };
    return { revision, resources: store.list(), changes: [] };
  }

  /** Endpoint changes, or the whole list, that the follower does not have yet. */
  endpointUpdate(request: SyncRequest): EndpointUpdate {
    const { members, sourceId, evidence } = this;
    const update = {
      endpointSource: sourceId,
      endpointVersion: members.endpointVersion,
      suspects: evidence.suspectList(),
    };
    if (request.endpointSource === sourceId) {
      const endpointChanges = members.endpointChangesSince(request.endpointVersion);
      if (endpointChanges !== undefined)
        return { ...update, endpoints: undefined, endpointChanges };
    } else if (!this.mayListEndpoints(request)) {
      const { endpointSource, endpointVersion } = request;
      return { endpointSource, endpointVersion, endpoints: undefined, endpointChanges: [] };
    }
    return { ...update, endpoints: members.endpointList(), endpointChanges: [] };
  }
}
