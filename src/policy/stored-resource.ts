/**
 * A resource as control keeps it, one accepted change of it, and the key under which both control and its followers keep it.
 * Stored and sent in this form.
 */
import type { Resource, ResourceKind } from './resource-schema.js';

/** Kind and name of a resource. */
export interface ResourceId {
  readonly kind: ResourceKind;
  readonly name: string;
}

/** A resource as stored. */
export interface StoredResource {
  readonly resource: Resource;
  /** Revision of the last change: the resource's version and entity tag. */
  readonly version: number;
  readonly changedBy: string;
  /** Wall-clock milliseconds at which the change was proposed; for people only. */
  readonly changedAt: number;
}

/** One accepted change, for watchers and followers. */
export interface ResourceChange {
  readonly revision: number;
  readonly id: ResourceId;
  /** The resource after the change; undefined when it was deleted. */
  readonly stored: StoredResource | undefined;
  readonly actor: string;
  readonly at: number;
}

/** The text under which a resource is kept. */
export function resourceKey(id: ResourceId): string {
  return `${id.kind}/${id.name}`;
}

/** The resources of a map by {@link resourceKey}, ordered by kind and name. */
export function sortedByKey(resources: ReadonlyMap<string, StoredResource>): StoredResource[] {
  return [...resources.entries()]
    .sort(([first], [second]) => (first < second ? -1 : 1))
    .map(([, stored]) => stored);
}

/** The id of a resource. */
export function resourceIdOf(resource: Resource): ResourceId {
  return { kind: resource.kind, name: resource.name };
}
