/**
 * Accepts whole declared sets, each based on the version that its author read, and returns the newest set. A set takes effect at
 * one revision or not at all. Invalid and conflicting sets are rejected before they are proposed; the store checks for conflicts
 * again on commit.
 */
import { hash } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import type { Fault } from '../common/errors.js';
import {
  declarationFaults,
  DECLARED_SET_KINDS,
  type DeclaredSetResource,
} from '../policy/route-schema.js';
import type { Resource } from '../policy/resource-schema.js';
import type { CommandLog, LogRefusal } from './command-log.js';
import type { DeclarationDocument } from './declaration-codec.js';
import type { DeclareCommand, DeclareResult } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import { resourceIdOf, resourceKey, type ResourceId } from '../policy/stored-resource.js';

/** Outcome of declaring a set. */
export type DeclareOutcome =
  | DeclareResult
  | { readonly type: 'invalid'; readonly faults: readonly Fault[] }
  /** This replica is not the leader; the set was not proposed. */
  | { readonly type: 'not-leader'; readonly leaderOrigin: string | undefined }
  /** Replication refused; the set may have taken effect or may still do so. */
  | { readonly type: 'unknown'; readonly refusal: LogRefusal };

/** Outcome of reading the newest set. */
export type ReadOutcome =
  | { readonly type: 'read'; readonly document: DeclarationDocument }
  | { readonly type: 'none' }
  | { readonly type: 'unsure'; readonly refusal: LogRefusal };

export interface DeclarationServiceOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  /** Wall-clock time in milliseconds, recorded with changes for display. */
  readonly wallClock: () => number;
}

export class DeclarationService {
  constructor(private readonly options: DeclarationServiceOptions) {}

  /**
   * Declares a set.
   * @param baseVersion version that the set is based on; 0 for the first set
   * @param actor name of the token holder
   */
  async declare(
    document: DeclarationDocument,
    baseVersion: number,
    actor: string,
  ): Promise<DeclareOutcome> {
    const faults = documentFaults(document);
    if (faults.length > 0) return { type: 'invalid', faults };
    const { store, log } = this.options;
    const { role, leaderOrigin } = log.status();
    if (role !== 'leader') return { type: 'not-leader', leaderOrigin };
    // The difference must be computed against a state that includes every accepted set.
    const refusal = await log.readBarrier();
    if (refusal !== undefined) return { type: 'unknown', refusal };
    const { version } = document;
    // `documentFaults` has validated every resource.
    const resources = document.resources as readonly DeclaredSetResource[];
    const digest = digestOf(resources);
    const check = store.declarations.check(version, baseVersion, digest);
    if (check.type === 'conflict') {
      return { type: 'version-conflict', currentVersion: check.currentVersion };
    }
    if (check.type === 'accepted-before') {
      return { type: 'declared', version, revision: check.revision };
    }
    const difference = this.differenceFrom(resources);
    const at = this.options.wallClock();
    const set = { type: 'declare', version, baseVersion, digest } as const;
    return this.propose({ ...set, ...difference, actor, at });
  }

  private async propose(command: DeclareCommand): Promise<DeclareOutcome> {
    const outcome = await this.options.log.propose(command);
    if (outcome.type === 'applied') return outcome.result;
    if (outcome.refusal.type === 'not-leader') return outcome.refusal;
    return { type: 'unknown', refusal: outcome.refusal };
  }

  /** Returns the newest accepted set, or `unsure` when the read barrier is refused. */
  async read(): Promise<ReadOutcome> {
    const { store, log } = this.options;
    const refusal = await log.readBarrier();
    if (refusal !== undefined) return { type: 'unsure', refusal };
    const { version } = store.declarations;
    if (version === 0) return { type: 'none' };
    return { type: 'read', document: { version, resources: this.current() } };
  }

  /** Resources in the store that belong to the declared set. */
  private current(): Resource[] {
    return this.options.store
      .list()
      .map((stored) => stored.resource)
      .filter((resource) => (DECLARED_SET_KINDS as readonly string[]).includes(resource.kind));
  }

  private differenceFrom(
    resources: readonly DeclaredSetResource[],
  ): Pick<DeclareCommand, 'changed' | 'removed'> {
    const wanted = new Map<string, Resource>();
    for (const resource of resources as readonly Resource[]) {
      wanted.set(resourceKey(resourceIdOf(resource)), resource);
    }
    const removed: ResourceId[] = [];
    for (const existing of this.current()) {
      const key = resourceKey(resourceIdOf(existing));
      const next = wanted.get(key);
      if (next === undefined) removed.push(resourceIdOf(existing));
      else if (isDeepStrictEqual(next, existing)) wanted.delete(key);
    }
    return { changed: [...wanted.values()], removed };
  }
}

function documentFaults(document: DeclarationDocument): Fault[] {
  const faults = declarationFaults(document.resources);
  if (document.version < 1) faults.push({ path: 'version', message: 'must be at least 1' });
  return faults;
}

/** Digest of the content of a set, independent of the order of resources and keys. */
function digestOf(resources: readonly DeclaredSetResource[]): string {
  const texts = resources.map((resource) => canonicalText(resource)).sort();
  return hash('sha256', texts.join('\n'), 'base64');
}

function canonicalText(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalText).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? 'null';
  const entries = Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1));
  return `{${entries.map(([key, part]) => `${JSON.stringify(key)}:${canonicalText(part)}`).join(',')}}`;
}
