/**
 * The commands that change the replicated store, and their results. Types alone. A command is stored in the log as it is
 * here, and a result in the snapshot: a field that goes or changes its meaning makes stored data unreadable.
 */
import type { Fault } from '../common/errors.js';
import type { Resource } from '../policy/resource-schema.js';
import type { ResourceId, StoredResource } from '../policy/stored-resource.js';

/** What a command expects to find: a version, nothing (`absent`), or whatever is there (`any`). */
export type Precondition = number | 'absent' | 'any';

interface CommandBase {
  /** Chosen by the client; a resend with the same id gets the first answer. */
  readonly changeId: string;
  readonly actor: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
  readonly precondition: Precondition;
}

/** Creates or replaces a resource. */
export interface PutCommand extends CommandBase {
  readonly type: 'put';
  readonly resource: Resource;
}

/** Deletes a resource. */
export interface DeleteCommand extends CommandBase {
  readonly type: 'delete';
  readonly target: ResourceId;
}

/**
 * Replaces the whole declared set at once, on top of the version that it was built on. Carries only
 * what differs from that version.
 */
export interface DeclareCommand {
  readonly type: 'declare';
  readonly version: number;
  readonly baseVersion: number;
  /** Digest of the whole set. */
  readonly digest: string;
  readonly changed: readonly Resource[];
  readonly removed: readonly ResourceId[];
  readonly actor: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
}

/** A change of one resource. */
export type ResourceCommand = PutCommand | DeleteCommand;

export type Command = ResourceCommand | DeclareCommand;

/** The answer to a declared set. */
export type DeclareResult =
  | { readonly type: 'declared'; readonly revision: number; readonly version: number }
  | { readonly type: 'version-conflict'; readonly currentVersion: number };

/** The answer to a command. */
export type CommandResult = ResourceResult | DeclareResult;

/** The answer to a change of one resource. */
export type ResourceResult =
  | { readonly type: 'accepted'; readonly revision: number; readonly created: boolean }
  /** The resource already stands as asked; nothing was changed. */
  | { readonly type: 'unchanged'; readonly revision: number }
  | { readonly type: 'conflict'; readonly current: StoredResource | undefined }
  | { readonly type: 'not-found' }
  | { readonly type: 'invalid'; readonly faults: readonly Fault[] }
  /** The change id was used before for another change. */
  | { readonly type: 'change-id-reused' };
