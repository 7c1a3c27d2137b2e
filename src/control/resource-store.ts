/**
 * The replicated state of control: declared resources, their versions, and the answers to recent
 * changes. A deterministic state machine: the same commands in the same order give the same state
 * and the same results on every replica.
 */
import {
  resourceIdOf,
  resourceKey,
  sortedByKey,
  type ResourceChange,
  type ResourceId,
  type StoredResource,
} from '../policy/stored-resource.js';
import { rendezvousScore } from '../common/rendezvous-hash.js';
import type { Fault } from '../common/errors.js';
import { conflictFaults } from '../policy/policy-table.js';
import type { Resource } from '../policy/resource-schema.js';
import { DeclarationHistory, type AcceptedDeclaration } from './declaration-history.js';

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

interface RememberedResult {
  readonly changeId: string;
  /** Tells a resend from another change that uses the same id. */
  readonly fingerprint: number;
  readonly result: ResourceResult;
}

/** Everything that a snapshot holds. */
export interface StoreSnapshot {
  readonly revision: number;
  readonly resources: readonly StoredResource[];
  readonly remembered: readonly RememberedResult[];
  /** Missing in snapshots of versions without declared sets. */
  readonly declarations?: readonly AcceptedDeclaration[];
}

/** Answers that are remembered for resends. At 1,800 changes a day, more than five days' worth. */
const MAX_REMEMBERED = 10_000;
/** Changes kept for watchers that resume. */
const MAX_HISTORY = 2_000;

function fingerprintOf(command: ResourceCommand): number {
  const subject = command.type === 'put' ? command.resource : command.target;
  return rendezvousScore(command.type, JSON.stringify([subject, command.precondition]));
}

export class ResourceStore {
  private readonly resources = new Map<string, StoredResource>();
  private remembered = new Map<string, RememberedResult>();
  private history: ResourceChange[] = [];
  private currentRevision = 0;
  /** The declared sets that were accepted. */
  readonly declarations = new DeclarationHistory();

  /** Revision of the last accepted change; 0 before the first. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Oldest revision from which {@link changesSince} can resume. */
  get oldestResumable(): number {
    const first = this.history[0];
    return first === undefined ? this.currentRevision : first.revision - 1;
  }

  get(id: ResourceId): StoredResource | undefined {
    return this.resources.get(resourceKey(id));
  }

  /** All resources, ordered by kind and name. */
  list(): StoredResource[] {
    return sortedByKey(this.resources);
  }

  /** The changes after `revision` in order; undefined when they are no longer all kept. */
  changesSince(revision: number): ResourceChange[] | undefined {
    if (revision < this.oldestResumable || revision > this.currentRevision) return undefined;
    return this.history.filter((change) => change.revision > revision);
  }

  /** What `command` would answer now, without changing anything. */
  preview(command: ResourceCommand): ResourceResult {
    return this.evaluate(command, this.currentRevision + 1);
  }

  /** Applies a command. The same change id gets the first answer again. */
  apply(command: Command): CommandResult {
    if (command.type === 'declare') return this.declare(command);
    const earlier = this.remembered.get(command.changeId);
    if (earlier !== undefined) {
      if (earlier.fingerprint === fingerprintOf(command)) return earlier.result;
      return { type: 'change-id-reused' };
    }
    const revision = this.currentRevision + 1;
    const result = this.evaluate(command, revision);
    if (result.type === 'accepted') this.commit(command, revision);
    this.remember(command, result);
    return result;
  }

  snapshot(): StoreSnapshot {
    return {
      revision: this.currentRevision,
      resources: this.list(),
      remembered: [...this.remembered.values()],
      declarations: this.declarations.list(),
    };
  }

  /** Replaces the state by a snapshot's. Watchers that are behind it must list again. */
  restore(snapshot: StoreSnapshot): void {
    this.resources.clear();
    for (const stored of snapshot.resources) {
      this.resources.set(resourceKey(resourceIdOf(stored.resource)), stored);
    }
    this.remembered = new Map(snapshot.remembered.map((entry) => [entry.changeId, entry]));
    this.history = [];
    this.currentRevision = snapshot.revision;
    this.declarations.restore(snapshot.declarations ?? []);
  }

  private declare(command: DeclareCommand): DeclareResult {
    const { version, baseVersion, digest } = command;
    const judgement = this.declarations.judge(version, baseVersion, digest);
    if (judgement.type === 'conflict') {
      return { type: 'version-conflict', currentVersion: judgement.currentVersion };
    }
    if (judgement.type === 'accepted-before') {
      return { type: 'declared', version, revision: judgement.revision };
    }
    this.commitSet(command);
    const revision = this.currentRevision;
    this.declarations.record({ version, digest, revision });
    return { type: 'declared', version, revision };
  }

  /** Every change of a set takes effect at one revision. A set without changes takes none. */
  private commitSet({ changed, removed, actor, at }: DeclareCommand): void {
    if (changed.length + removed.length === 0) return;
    const revision = this.currentRevision + 1;
    this.currentRevision = revision;
    for (const id of removed) this.remove(id, revision, actor, at);
    for (const resource of changed) this.replace(resource, revision, actor, at);
  }

  private evaluate(command: ResourceCommand, revision: number): ResourceResult {
    const id = command.type === 'put' ? resourceIdOf(command.resource) : command.target;
    const current = this.get(id);
    if (!preconditionHolds(command.precondition, current)) return { type: 'conflict', current };
    if (command.type === 'delete') {
      if (current === undefined) return { type: 'not-found' };
      return { type: 'accepted', revision, created: false };
    }
    const others = [...this.resources.values()].map((stored) => stored.resource);
    const faults = conflictFaults(command.resource, others);
    if (faults.length > 0) return { type: 'invalid', faults };
    if (current !== undefined && sameResource(current.resource, command.resource)) {
      return { type: 'unchanged', revision: current.version };
    }
    return { type: 'accepted', revision, created: current === undefined };
  }

  private commit(command: ResourceCommand, revision: number): void {
    const { actor, at } = command;
    this.currentRevision = revision;
    if (command.type === 'delete') {
      this.remove(command.target, revision, actor, at);
    } else this.replace(command.resource, revision, actor, at);
  }

  private remove(id: ResourceId, revision: number, actor: string, at: number): void {
    this.resources.delete(resourceKey(id));
    this.record({ revision, id, stored: undefined, actor, at });
  }

  private replace(resource: Resource, revision: number, actor: string, at: number): void {
    const id = resourceIdOf(resource);
    const stored: StoredResource = {
      resource,
      version: revision,
      changedBy: actor,
      changedAt: at,
    };
    this.resources.set(resourceKey(id), stored);
    this.record({ revision, id, stored, actor, at });
  }

  private record(change: ResourceChange): void {
    this.history.push(change);
    if (this.history.length > MAX_HISTORY) this.forgetOldestRevision();
  }

  /** A revision may have many changes: either all of them are kept, or none. */
  private forgetOldestRevision(): void {
    const oldest = this.history[0]?.revision;
    const kept = this.history.findIndex((change) => change.revision !== oldest);
    if (kept > 0) this.history.splice(0, kept);
  }

  private remember(command: ResourceCommand, result: ResourceResult): void {
    const { changeId } = command;
    this.remembered.set(changeId, { changeId, fingerprint: fingerprintOf(command), result });
    if (this.remembered.size <= MAX_REMEMBERED) return;
    const [oldest] = this.remembered.keys();
    if (oldest !== undefined) this.remembered.delete(oldest);
  }
}

function preconditionHolds(
  precondition: Precondition,
  current: StoredResource | undefined,
): boolean {
  if (precondition === 'any') return true;
  if (precondition === 'absent') return current === undefined;
  return current?.version === precondition;
}

/** Both went through the schema, which fixes the order of keys and fills in defaults. */
function sameResource(first: Resource, second: Resource): boolean {
  return JSON.stringify(first) === JSON.stringify(second);
}
