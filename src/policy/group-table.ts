/** The declared groups, compiled into the lookups that each call needs. Part of the policy table. */
import type { GroupResource } from './group-schema.js';
import type { GroupDeclaration } from './resource-schema.js';

/** Requests that the callers of a group may make, over the whole fleet. */
export interface GroupRate {
  readonly perSecond: number;
  /** Requests besides, at once. */
  readonly burst: number;
}

/** A group as looked up for each call. */
export interface Group {
  readonly name: string;
  /** Weight relative to the other groups. */
  readonly share: number;
  /** 0 is the most urgent; comes before the rank of a route. */
  readonly rank: number;
  /** Undefined where the group has no limit. */
  readonly rate: GroupRate | undefined;
}

/** Share of a group that no policy names, relative to declared shares: it gets what the others leave. */
const UNKNOWN_GROUP_SHARE = 1e-3;
/** Groups of a declared set have equal shares. */
const SET_GROUP_SHARE = 1;

export class GroupTable {
  private readonly byName = new Map<string, Group>();
  private readonly byKeyHash = new Map<string, Group>();
  private readonly byKey = new Map<string, Group>();
  private declaredShare = 0;
  private setGroupCount = 0;

  /** Whether callers of routes have to present a key: a set declares groups. */
  get needsKeys(): boolean {
    return this.setGroupCount > 0;
  }

  /** Adds a group of a policy. */
  addPolicyGroup({ name, share, keyHashes }: GroupDeclaration): void {
    const group: Group = { name, share, rank: 0, rate: undefined };
    this.add(group);
    for (const keyHash of keyHashes) this.byKeyHash.set(keyHash, group);
  }

  /** Adds a group of a declared set. */
  addResource({ name, spec }: GroupResource): void {
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

  /** The group of the callers who present this API key, or undefined. */
  ofKey(key: string): Group | undefined {
    return this.byKey.get(key);
  }

  /** The group whose callers present an API key with this SHA-256 hash, or undefined. */
  findByKeyHash(keyHash: string): Group | undefined {
    return this.byKeyHash.get(keyHash);
  }

  /** The group with this name, or undefined. */
  get(name: string): Group | undefined {
    return this.byName.get(name);
  }

  /** Names of all groups. */
  names(): string[] {
    return [...this.byName.keys()].sort();
  }

  /** Weight of a group; tiny for one that is not declared. */
  shareOf(name: string): number {
    return this.byName.get(name)?.share ?? UNKNOWN_GROUP_SHARE;
  }

  /** Sum of the weights of all declared groups, and one unknown group's. */
  get totalShare(): number {
    return this.declaredShare + UNKNOWN_GROUP_SHARE;
  }

  private add(group: Group): void {
    this.byName.set(group.name, group);
    this.declaredShare += group.share;
  }
}
