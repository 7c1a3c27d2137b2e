/**
 * Takes whole declared sets, each on top of the version that it was built on, and reads the newest
 * back. A set takes effect at one revision or not at all. Decides that a set is invalid, or in conflict with what this leader knows,
 * before it is proposed; the store decides again once it is committed. Relies on the log for order and for the barrier.
 */
import { hash } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import type { Fault } from '../common/errors.js';
import { declarationFaults, SET_KINDS, type SetResource } from '../policy/route-schema.js';
import type { Resource } from '../policy/resource-schema.js';
import type { CommandLog, LogRefusal } from './command-log.js';
import type { DeclarationDocument } from './declaration-codec.js';
import type { DeclareCommand, DeclareResult } from './commands.js';
import type { ResourceStore } from './resource-store.js';
import { resourceIdOf, resourceKey, type ResourceId } from '../policy/stored-resource.js';

/** The answer to a set. */
export type DeclareOutcome =
  | DeclareResult
  | { readonly type: 'invalid'; readonly faults: readonly Fault[] }
  /** This replica does not lead: the set was not looked at. */
  | { readonly type: 'not-leader'; readonly leaderOrigin: string | undefined }
  /** Whether the set took effect, or will, can't be known here. */
  | { readonly type: 'unknown'; readonly refusal: LogRefusal };

/** The answer to a read. */
export type ReadOutcome =
  | { readonly type: 'read'; readonly document: DeclarationDocument }
  | { readonly type: 'none' }
  | { readonly type: 'unsure'; readonly refusal: LogRefusal };

export interface DeclarationServiceOptions {
  readonly store: ResourceStore;
  readonly log: CommandLog;
  /** Wall-clock milliseconds, recorded with changes for people. */
  readonly wallClock: () => number;
}

export class DeclarationService {
  constructor(private readonly options: DeclarationServiceOptions) {}

  /**
   * Declares a set.
   * @param baseVersion version that the set was built on; 0 for the first
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
    // The difference is taken from the state that every accepted set is part of.
    const refusal = await log.readBarrier();
    if (refusal !== undefined) return { type: 'unknown', refusal };
    const { version } = document;
    // Every resource has passed the schema above.
    const resources = document.resources as readonly SetResource[];
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

  /** Reads the newest accepted set, or says that this replica can't be sure of it. */
  async read(): Promise<ReadOutcome> {
    const { store, log } = this.options;
    const refusal = await log.readBarrier();
    if (refusal !== undefined) return { type: 'unsure', refusal };
    const { version } = store.declarations;
    if (version === 0) return { type: 'none' };
    return { type: 'read', document: { version, resources: this.current() } };
  }

  /** The resources of the set as the store holds them. */
  private current(): Resource[] {
    return this.options.store
      .list()
      .map((stored) => stored.resource)
      .filter((resource) => (SET_KINDS as readonly string[]).includes(resource.kind));
  }

  private differenceFrom(
    resources: readonly SetResource[],
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

/** A digest of a set's content that does not depend on the order of resources or keys. */
function digestOf(resources: readonly SetResource[]): string {
  const texts = resources.map((resource) => canonicalText(resource)).sort();
  return hash('sha256', texts.join('\n'), 'base64');
}

function canonicalText(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonicalText).join(',')}]`;
  if (typeof value !== 'object' || value === null) return JSON.stringify(value) ?? 'null';
  const entries = Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1));
  return `{${entries.map(([key, part]) => `${JSON.stringify(key)}:${canonicalText(part)}`).join(',')}}`;
}
