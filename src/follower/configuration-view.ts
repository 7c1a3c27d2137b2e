/**
 * The configuration and endpoints that a follower of control has applied. They are held in memory only, so a process has
 * none until its first sync succeeds. Revisions only increase: a response with an older one is ignored. Pure.
 */
import {
  NO_REVISION,
  type EndpointPosition,
  type SyncRequest,
  type SyncResponse,
} from '../sync/sync-protocol.js';
import {
  resourceIdOf,
  resourceKey,
  sortedByKey,
  type ResourceChange,
  type ResourceId,
  type StoredResource,
} from '../policy/stored-resource.js';
import { NO_SUSPECTS, type SuspectList } from '../quarantine/crash-report.js';
import { PolicyTable } from '../policy/policy-table.js';
import type { Resource } from '../policy/resource-schema.js';
import type { EndpointRecord } from '../call/endpoint.js';

/** The parts of the view that a sync response changed. */
export interface ViewUpdate {
  readonly configurationChanged: boolean;
  readonly endpointsChanged: boolean;
  readonly suspectsChanged: boolean;
}

export class ConfigurationView {
  private readonly resources = new Map<string, StoredResource>();
  private readonly endpoints = new Map<string, EndpointRecord>();
  private currentTable: PolicyTable | undefined;
  private revision = 0;
  private endpointSource = '';
  private endpointVersion = 0;
  private suspectList = NO_SUSPECTS;

  /** The compiled policy; undefined until the first sync response is applied. */
  get table(): PolicyTable | undefined {
    return this.currentTable;
  }

  /** Applied revision; 0 if there is none. */
  get appliedRevision(): number {
    return this.revision;
  }

  /** All applied resources, ordered by kind and name. */
  resourceList(): StoredResource[] {
    return sortedByKey(this.resources);
  }

  resource(id: ResourceId): Resource | undefined {
    return this.resources.get(resourceKey(id))?.resource;
  }

  /** @param id id of the endpoint's node */
  endpoint(id: string): EndpointRecord | undefined {
    return this.endpoints.get(id);
  }

  endpointList(): Iterable<EndpointRecord> {
    return this.endpoints.values();
  }

  /** Whether a replica at `revision` and `endpoints` has changes that are not applied here. */
  isBehind(revision: number, endpoints: EndpointPosition | undefined): boolean {
    if (revision > this.revision) return true;
    if (endpoints?.source !== this.endpointSource) return false;
    return endpoints.version > this.endpointVersion;
  }

  /** Requests suspected of crashing targets, as last synced. */
  get suspects(): SuspectList {
    return this.suspectList;
  }

  /** Builds the next sync request from the current positions. */
  request(): SyncRequest {
    return {
      revision: this.currentTable === undefined ? NO_REVISION : this.revision,
      endpointSource: this.endpointSource,
      endpointVersion: this.endpointVersion,
      suspectVersion: this.suspectList.version,
    };
  }

  apply(response: SyncResponse): ViewUpdate {
    return {
      configurationChanged: this.applyConfiguration(response),
      endpointsChanged: this.applyEndpoints(response),
      suspectsChanged: this.applySuspects(response),
    };
  }

  private applyConfiguration(response: SyncResponse): boolean {
    const isFirst = this.currentTable === undefined;
    if (response.revision < this.revision) return false;
    if (response.revision === this.revision && !isFirst) return false;
    if (response.resources !== undefined) this.replaceResources(response.resources);
    else if (isFirst) return false;
    else if (!this.applyChanges(response.changes)) return false;
    this.revision = response.revision;
    const declared = [...this.resources.values()].map((stored) => stored.resource);
    this.currentTable = new PolicyTable(this.revision, declared);
    return true;
  }

  private replaceResources(resources: readonly StoredResource[]): void {
    this.resources.clear();
    for (const stored of resources) {
      this.resources.set(resourceKey(resourceIdOf(stored.resource)), stored);
    }
  }

  /** Applies the changes after the current revision. Returns false if some between them are missing. */
  private applyChanges(changes: readonly ResourceChange[]): boolean {
    const news = changes.filter((change) => change.revision > this.revision);
    const first = news[0];
    if (first !== undefined && first.revision !== this.revision + 1) return false;
    for (const change of news) {
      const key = resourceKey(change.id);
      if (change.stored === undefined) this.resources.delete(key);
      else this.resources.set(key, change.stored);
    }
    return true;
  }

  private applySuspects({ suspects }: SyncResponse): boolean {
    if (suspects === undefined) return false;
    this.suspectList = suspects;
    return true;
  }

  private applyEndpoints(response: SyncResponse): boolean {
    const { endpoints, endpointChanges } = response;
    if (endpoints !== undefined) {
      this.endpoints.clear();
      for (const record of endpoints) this.endpoints.set(record.id, record);
    } else {
      if (response.endpointSource !== this.endpointSource) return false;
      for (const change of endpointChanges) {
        if (change.record === undefined) this.endpoints.delete(change.id);
        else this.endpoints.set(change.id, change.record);
      }
    }
    this.endpointSource = response.endpointSource;
    this.endpointVersion = response.endpointVersion;
    return endpoints !== undefined || endpointChanges.length > 0;
  }
}
