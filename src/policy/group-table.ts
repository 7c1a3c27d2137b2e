/** Lookup of the declared groups by name, API key and key hash. */
import type { GroupResource } from './group-schema.js';
import type { GroupDeclaration } from './resource-schema.js';

/** Rate limit of a group across the fleet. */
export interface GroupRate {
  /** Requests per second. */
  readonly perSecond: number;
  /** Requests allowed at once in addition to the rate. */
  readonly burst: number;
}

/** A declared group with defaults applied. */
export interface Group {
  readonly name: string;
  /** Weight relative to the other groups. */
  readonly share: number;
  /** 0 is the most urgent; takes precedence over the rank of the route. */
  readonly rank: number;
  /** Undefined if the group has no limit. */
  readonly rate: GroupRate | undefined;
}

/** Weight of an undeclared group; small, so that it only gets capacity that declared groups leave unused. */
const UNKNOWN_GROUP_SHARE = 1e-3;
/** Weight of each group of a declared set. */
const SET_GROUP_SHARE = 1;

/** The declared groups of one revision. */
export class GroupTable {
  private readonly byName = new Map<string, Group>();
  private readonly byKeyHash = new Map<string, Group>();
  private readonly byKey = new Map<string, Group>();
  private declaredShare = 0;
  private setGroupCount = 0;

  /** Whether routes require an API key: they do if the declared set contains groups. */
  get requiresKeys(): boolean {
    return this.setGroupCount > 0;
  }

  /** Adds a group of a policy. */
  addPolicyGroup({ name, share, keyHashes }: GroupDeclaration): void {
    const group: Group = { name, share, rank: 0, rate: undefined };
    this.add(group);
    for (const keyHash of keyHashes) this.byKeyHash.set(keyHash, group);
  }

  /** Adds a group of a declared set. */
  addSetGroup({ name, spec }: GroupResource): void {
    const { keys = [], rank = 0, ratePerSecond, burst } = spec;
    const rate =
      ratePerSecond === undefined || ratePerSecond === null || ratePerSecond === 0
        ? undefined
        : { perSecond: ratePerSecond, burst: burst ?? 0 };
    const group: Group = { name, share: SET_GROUP_SHARE, rank, rate };
    this.add(group);
    this.setGroupCount += 1;
    for (const key of keys) this.byKey.set(key, group);
  }

  /** Returns the group with this API key, or undefined. */
  findByKey(key: string): Group | undefined {
    return this.byKey.get(key);
  }

  /** Returns the group with an API key of this SHA-256 hash, or undefined. */
  findByKeyHash(keyHash: string): Group | undefined {
    return this.byKeyHash.get(keyHash);
  }

  /** Returns the group with this name, or undefined. */
  get(name: string): Group | undefined {
    return this.byName.get(name);
  }

  /** Returns the sorted names of all groups. */
  names(): string[] {
    return [...this.byName.keys()].sort();
  }

  /** Returns the weight of a group, which is small for an undeclared one. */
  shareOf(name: string): number {
    return this.byName.get(name)?.share ?? UNKNOWN_GROUP_SHARE;
  }

  /** Sum of the weights of all declared groups and one undeclared group. */
  get totalShare(): number {
    return this.declaredShare + UNKNOWN_GROUP_SHARE;
  }

  private add(group: Group): void {
    this.byName.set(group.name, group);
    this.declaredShare += group.share;
  }
}
