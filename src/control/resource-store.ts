/**
 * Replicated state of control: resources with their versions, results of recent changes, and quota ceilings. A deterministic state machine: the
 * same commands in the same order give the same state and results on every replica. It reads no clock; times are part of commands.
 */
import {
  resourceIdOf,
  resourceKey,
  sortedByKey,
  type ResourceChange,
  type ResourceId,
  type StoredResource,
} from '../policy/stored-resource.js';
import { conflictFaults } from '../policy/policy-conflicts.js';
import type { Resource } from '../policy/resource-schema.js';
import type { CeilingRecord } from '../quota/ceiling-record.js';
import { ChangeHistory } from './change-history.js';
import type {
  Command,
  CommandResult,
  DeclareCommand,
  DeclareResult,
  Precondition,
  ResourceCommand,
  ResourceResult,
  QuotaCeilingsCommand,
  QuotaCeilingsResult,
} from './commands.js';
import { DeclarationHistory } from './declaration-history.js';
import { IdempotencyRecords } from './idempotency-records.js';
import type { StoreSnapshot } from './store-snapshot.js';

export class ResourceStore {
  private readonly resources = new Map<string, StoredResource>();
  private readonly idempotencyRecords = new IdempotencyRecords();
  private readonly history = new ChangeHistory();
  private currentRevision = 0;
  private currentQuotaCeilings: CeilingRecord | undefined;
  /** Accepted declared sets. */
  readonly declarations = new DeclarationHistory();

  /** Revision of the last accepted change; 0 if there is none. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The last record of quota ceilings. Not part of the configuration: it has no revision. */
  get quotaCeilings(): CeilingRecord | undefined {
    return this.currentQuotaCeilings;
  }

  /** Oldest revision from which {@link changesSince} can resume. */
  get oldestResumable(): number {
    return this.history.oldestResumable(this.currentRevision);
  }

  get(id: ResourceId): StoredResource | undefined {
    return this.resources.get(resourceKey(id));
  }

  /** All resources, ordered by kind and name. */
  list(): StoredResource[] {
    return sortedByKey(this.resources);
  }

  /** Changes after `revision` in order; undefined when they are no longer all available. */
  changesSince(revision: number): ResourceChange[] | undefined {
    return this.history.since(revision, this.currentRevision);
  }

  /** Returns the result that `command` would have now, without applying it. */
  preview(command: ResourceCommand): ResourceResult {
    return this.evaluate(command, this.currentRevision + 1);
  }

  /** Applies a command. A retry with the same change id returns the original result. */
  apply(command: Command): CommandResult {
    if (command.type === 'declare') return this.declare(command);
    if ('quotaCeilings' in command) return this.recordCeilings(command);
    const earlier = this.idempotencyRecords.resultFor(command);
    if (earlier !== undefined) return earlier;
    const revision = this.currentRevision + 1;
    const result = this.evaluate(command, revision);
    if (result.type === 'accepted') this.commit(command, revision);
    this.idempotencyRecords.record(command, result);
    return result;
  }

  /** Remembers the command as versions without ceilings do, so that all replicas forget the same changes. */
  private recordCeilings(command: QuotaCeilingsCommand): QuotaCeilingsResult {
    this.currentQuotaCeilings = command.quotaCeilings;
    if (this.idempotencyRecords.resultFor(command) === undefined) {
      this.idempotencyRecords.record(command, this.preview(command));
    }
    return { type: 'recorded' };
  }

  snapshot(): StoreSnapshot {
    return {
      revision: this.currentRevision,
      resources: this.list(),
      remembered: this.idempotencyRecords.list(),
      declarations: this.declarations.list(),
      ...(this.currentQuotaCeilings && { quotaCeilings: this.currentQuotaCeilings }),
    };
  }

  /** Replaces the state with that of a snapshot. Watchers that are behind it must list again. */
  restore(snapshot: StoreSnapshot): void {
    this.resources.clear();
    for (const stored of snapshot.resources) {
      this.resources.set(resourceKey(resourceIdOf(stored.resource)), stored);
    }
    this.idempotencyRecords.restore(snapshot.remembered);
    this.history.clear();
    this.currentRevision = snapshot.revision;
    this.declarations.restore(snapshot.declarations ?? []);
    this.currentQuotaCeilings = snapshot.quotaCeilings;
  }

  private declare(command: DeclareCommand): DeclareResult {
    const { version, baseVersion, digest } = command;
    const check = this.declarations.check(version, baseVersion, digest);
    if (check.type === 'conflict') {
      return { type: 'version-conflict', currentVersion: check.currentVersion };
    }
    if (check.type === 'accepted-before') {
      return { type: 'declared', version, revision: check.revision };
    }
    this.commitSet(command);
    const revision = this.currentRevision;
    this.declarations.record({ version, digest, revision });
    return { type: 'declared', version, revision };
  }

  /** Applies all changes of a set at one revision. A set without changes creates no revision. */
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
    this.history.record({ revision, id, stored: undefined, actor, at });
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
    this.history.record({ revision, id, stored, actor, at });
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

/** Comparing the JSON texts is sufficient: the schema fixes the order of keys and fills in defaults. */
function sameResource(first: Resource, second: Resource): boolean {
  return JSON.stringify(first) === JSON.stringify(second);
}
