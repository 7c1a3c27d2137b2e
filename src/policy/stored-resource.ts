/** A resource as control keeps it, and one accepted change of it. */
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
