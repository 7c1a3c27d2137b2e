/** Resources and changes in the form in which control stores them and sends them to its followers. */
import type { Resource, ResourceKind } from './resource-schema.js';

/** Identifies a resource. */
export interface ResourceId {
  readonly kind: ResourceKind;
  readonly name: string;
}

/** A resource with its version and last change. */
export interface StoredResource {
  readonly resource: Resource;
  /** Revision of the last change; also the entity tag of the resource. */
  readonly version: number;
  readonly changedBy: string;
  /** Time at which the change was proposed, in milliseconds since 1970; for display only. */
  readonly changedAt: number;
}

/** An accepted change, as sent to watchers and followers. */
export interface ResourceChange {
  readonly revision: number;
  readonly id: ResourceId;
  /** The resource after the change; undefined if it was deleted. */
  readonly stored: StoredResource | undefined;
  readonly actor: string;
  readonly at: number;
}

/** Returns the key of a resource in maps: `Kind/name`. */
export function resourceKey(id: ResourceId): string {
  return `${id.kind}/${id.name}`;
}

/** Returns the resources of a map whose keys are from {@link resourceKey}, sorted by key. */
export function sortedByKey(resources: ReadonlyMap<string, StoredResource>): StoredResource[] {
  return [...resources.entries()]
    .sort(([first], [second]) => (first < second ? -1 : 1))
    .map(([, stored]) => stored);
}

export function resourceIdOf(resource: Resource): ResourceId {
  return { kind: resource.kind, name: resource.name };
}
