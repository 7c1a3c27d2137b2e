/**
 * Commands that change the replicated store, and their results. Commands are stored in the log and results in snapshots:
 * removing a field or changing its meaning makes stored data unreadable.
 */
import type { Fault } from '../common/errors.js';
import type { Resource } from '../policy/resource-schema.js';
import type { ResourceId, StoredResource } from '../policy/stored-resource.js';
import type { CeilingRecord } from '../quota/ceiling-record.js';

/** Required current state of a resource: a version, not existing (`absent`), or anything (`any`). */
export type Precondition = number | 'absent' | 'any';

/** Actor recorded for changes that control makes itself. */
export const CONTROL_ACTOR = 'shoredoor';

interface CommandBase {
  /** Idempotency key chosen by the client; a retry with the same id gets the original result. */
  readonly changeId: string;
  readonly actor: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
  readonly precondition: Precondition;
}

export interface PutCommand extends CommandBase {
  readonly type: 'put';
  readonly resource: Resource;
}

export interface DeleteCommand extends CommandBase {
  readonly type: 'delete';
  readonly target: ResourceId;
}

/**
 * Replaces the record of quota ceilings. Stored as the deletion of a resource that cannot exist: versions without ceilings
 * apply it as such, without effect.
 */
export interface QuotaCeilingsCommand extends DeleteCommand {
  readonly quotaCeilings: CeilingRecord;
}

/** Target of a {@link QuotaCeilingsCommand}. No resource has an empty name. */
export const NO_RESOURCE: ResourceId = { kind: 'Group', name: '' };

/** Change id of every {@link QuotaCeilingsCommand}: the results of operators' changes are remembered as long as without them. */
export const CEILINGS_CHANGE_ID = 'quota-ceilings';

/** Result of a {@link QuotaCeilingsCommand}. */
export interface QuotaCeilingsResult {
  readonly type: 'recorded';
}

/**
 * Replaces the declared set `baseVersion` by `version` in one revision. Carries only the differences between the two.
 */
export interface DeclareCommand {
  readonly type: 'declare';
  readonly version: number;
  readonly baseVersion: number;
  /** Digest of the complete set. */
  readonly digest: string;
  readonly changed: readonly Resource[];
  readonly removed: readonly ResourceId[];
  readonly actor: string;
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** A change of one resource. */
export type ResourceCommand = PutCommand | DeleteCommand;

export type Command = ResourceCommand | DeclareCommand | QuotaCeilingsCommand;

/** Result of a {@link DeclareCommand}. */
export type DeclareResult =
  | { readonly type: 'declared'; readonly revision: number; readonly version: number }
  | { readonly type: 'version-conflict'; readonly currentVersion: number };

export type CommandResult = ResourceResult | DeclareResult | QuotaCeilingsResult;

/** Result of a {@link ResourceCommand}. */
export type ResourceResult =
  | { readonly type: 'accepted'; readonly revision: number; readonly created: boolean }
  /** The resource already has the requested content. */
  | { readonly type: 'unchanged'; readonly revision: number }
  | { readonly type: 'conflict'; readonly current: StoredResource | undefined }
  | { readonly type: 'not-found' }
  | { readonly type: 'invalid'; readonly faults: readonly Fault[] }
  /** The change id was already used for a different change. */
  | { readonly type: 'change-id-reused' };
