/**
 * What a control replica sends a process that follows it, and whether there is anything to send. Pure: it reads the store, the
 * members and the evidence of crashes, and owns nothing.
 */
import type { Clock } from '../common/clock.js';
import type { CrashEvidence } from '../quarantine/crash-evidence.js';
import type { MemberTable } from './member-table.js';
import type { ResourceStore } from './resource-store.js';
import type { ConfigurationNews, EndpointNews } from '../sync/sync-codec.js';
import {
  NO_REVISION,
  type EndpointPosition,
  type SyncRequest,
  type SyncResponse,
} from '../sync/sync-protocol.js';

export class SyncResponder {
  /** @param sourceId names this replica and its start, as `endpointSource` */
  constructor(
    private readonly clock: Clock,
    private readonly store: ResourceStore,
    private readonly members: MemberTable,
    private readonly sourceId: string,
    private readonly evidence: CrashEvidence,
  ) {}

  /** Where this replica's endpoint list stands. */
  get endpointPosition(): EndpointPosition {
    return { source: this.sourceId, version: this.members.endpointVersion };
  }

  /**
   * Whether this replica must prove that it is not behind before it answers: a process that has just
   * started knows no revision of its own to compare with.
   */
  needsReadBarrier(request: SyncRequest): boolean {
    return request.revision === NO_REVISION;
  }

  /** Whether there is anything that the follower does not have. */
  hasNews(request: SyncRequest): boolean {
    const { store, members, sourceId } = this;
    if (store.revision > request.revision) return true;
    if (request.endpointSource === sourceId) {
      return members.endpointVersion !== request.endpointVersion || this.hasSuspectUpdate(request);
    }
    return this.mayListEndpoints(request);
  }

  /**
   * A replica that has just started has not heard from everyone: it gives its list only to
   * followers that have none.
   */
  private mayListEndpoints(request: SyncRequest): boolean {
    const { members, clock } = this;
    return request.endpointSource === '' || members.isComplete(clock.now());
  }

  private hasSuspectUpdate({ suspectVersion }: SyncRequest): boolean {
    return suspectVersion !== undefined && suspectVersion !== this.evidence.suspectVersion;
  }

  /** Everything that the follower does not have. */
  buildResponse(request: SyncRequest): SyncResponse {
    return { ...this.configurationUpdate(request), ...this.endpointUpdate(request) };
  }

  /** Revision of the configuration here. */
  get revision(): number {
    return this.store.revision;
  }

  /** What the follower does not have of the configuration. */
  configurationUpdate(request: SyncRequest): ConfigurationNews {
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

  /** What the follower does not have of the endpoints. */
  endpointUpdate(request: SyncRequest): EndpointNews {
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
