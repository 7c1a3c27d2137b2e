/**
 * Lookup table of the declared resources of one revision. Immutable: a new revision creates a new table, and a call uses
 * the same table until it ends.
 */
import { GroupTable, type Group } from './group-table.js';
import { importanceFromName, type Importance } from './importance.js';
import { PathPattern } from './path-pattern.js';
import { ingressLimits, RouteTable, type IngressLimits } from './route-table.js';
import type { IngressResource, RouteResource } from './route-schema.js';
import {
  DEFAULT_SERVICE_SPEC,
  type KindDeclaration,
  type PolicyResource,
  type QuarantineResource,
  type Resource,
  type ServiceResource,
  type ServiceSpec,
} from './resource-schema.js';

/** A declared request kind, with the retry settings of its policy. */
export interface RequestKind {
  readonly name: string;
  readonly service: string;
  readonly importance: Importance;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Whether only services may send it. */
  readonly internal: boolean;
  readonly deadlineMs: number;
  /** Maximum number of retries of one request over its whole call chain. */
  readonly retryAllowance: number;
  /** Maximum ratio of retries to first attempts, per process. */
  readonly retryRatio: number;
}

export type { Group } from './group-table.js';

interface KindPattern {
  readonly pattern: PathPattern;
  readonly kind: RequestKind;
}

/** Idempotent methods (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS: readonly string[] = ['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE'];

/** The declared resources of one revision. */
export class PolicyTable {
  private readonly kindsByName = new Map<string, RequestKind>();
  private readonly kindPatternsByMethod = new Map<string, KindPattern[]>();
  private readonly servicesByName = new Map<string, ServiceSpec>();
  private readonly quarantines = new Map<string, QuarantineResource['spec']>();
  private defaultGroup: Group | undefined;
  readonly groups = new GroupTable();
  /** Routes of the declared set. */
  readonly routes: RouteTable;
  readonly ingress: IngressLimits;

  /**
   * @param revision store revision of the resources
   * @param resources valid resources without conflicts (see `policy-conflicts.ts`)
   */
  constructor(
    readonly revision: number,
    resources: Iterable<Resource>,
  ) {
    const routes: RouteResource[] = [];
    let ingress: IngressResource | undefined;
    for (const resource of resources) {
      if (resource.kind === 'Policy') this.addPolicy(resource);
      if (resource.kind === 'Service') this.addService(resource);
      if (resource.kind === 'Group') this.groups.addSetGroup(resource);
      if (resource.kind === 'Route') routes.push(resource);
      if (resource.kind === 'Quarantine') this.quarantines.set(resource.name, resource.spec);
      if (resource.kind === 'Ingress') ingress = resource;
    }
    this.routes = new RouteTable(routes);
    this.ingress = ingressLimits(ingress);
    for (const patterns of this.kindPatternsByMethod.values()) {
      patterns.sort((a, b) => b.pattern.specificity - a.pattern.specificity);
    }
  }

  /** Adds a service; those of a declared set may omit settings. */
  private addService({ name, spec }: ServiceResource): void {
    this.servicesByName.set(name, { ...DEFAULT_SERVICE_SPEC, ...spec });
  }

  private addPolicy(policy: PolicyResource): void {
    for (const declaration of policy.spec.groups) this.groups.addPolicyGroup(declaration);
    const { defaultGroup } = policy.spec;
    if (defaultGroup !== undefined) this.defaultGroup = this.groups.get(defaultGroup);
    for (const declaration of policy.spec.kinds) this.addKind(policy, declaration);
  }

  private addKind(policy: PolicyResource, declaration: KindDeclaration): void {
    const kind: RequestKind = {
      name: declaration.name,
      service: declaration.service,
      importance: importanceFromName(declaration.importance),
      repeatable: declaration.repeatable,
      internal: declaration.internal,
      deadlineMs: declaration.deadlineMs,
      retryAllowance: policy.spec.retry.allowance,
      retryRatio: policy.spec.retry.ratio,
    };
    this.kindsByName.set(kind.name, kind);
    for (const match of declaration.match) {
      const patterns = this.kindPatternsByMethod.get(match.method) ?? [];
      patterns.push({ pattern: new PathPattern(match.path), kind });
      this.kindPatternsByMethod.set(match.method, patterns);
    }
  }

  /** Returns the kind that matches `method` and `path`, or undefined. */
  matchKind(method: string, path: string): RequestKind | undefined {
    const patterns = this.kindPatternsByMethod.get(method);
    return patterns?.find((candidate) => candidate.pattern.matches(path))?.kind;
  }

  /** Returns the kind with this name, or undefined. */
  kind(name: string): RequestKind | undefined {
    return this.kindsByName.get(name);
  }

  /** Returns the group with an API key of this SHA-256 hash, or else the default group. */
  findGroupByKeyHash(hash: string | undefined): Group | undefined {
    if (hash === undefined) return this.defaultGroup;
    return this.groups.findByKeyHash(hash) ?? this.defaultGroup;
  }

  /** Returns the weight of a group, which is small for an undeclared one. */
  shareOf(groupName: string): number {
    return this.groups.shareOf(groupName);
  }

  /** Sum of the weights of all declared groups and one undeclared group. */
  get totalShare(): number {
    return this.groups.totalShare;
  }

  /** Returns the quarantine, in force or recently ended, of the request with this fingerprint. */
  getQuarantine(fingerprint: string): QuarantineResource['spec'] | undefined {
    return this.quarantines.get(fingerprint);
  }

  /** Number of quarantines that are in force or recently ended. */
  get quarantineCount(): number {
    return this.quarantines.size;
  }

  /** Returns the settings of a service, or the defaults if none are declared. */
  serviceSpec(service: string): ServiceSpec {
    return this.servicesByName.get(service) ?? DEFAULT_SERVICE_SPEC;
  }

  /** Returns the sorted names of all services in kinds and `Service` resources. */
  serviceNames(): string[] {
    const names = new Set(this.servicesByName.keys());
    for (const kind of this.kindsByName.values()) names.add(kind.service);
    return [...names].sort();
  }

  /** Returns the sorted names of all groups. */
  groupNames(): string[] {
    return this.groups.names();
  }

  /** Whether a request may run more than once: as its kind declares, or by its method if no kind of the service matches. */
  isRepeatable(service: string, method: string, path: string): boolean {
    const kind = this.matchKind(method, path);
    if (kind !== undefined && kind.service === service) return kind.repeatable;
    return IDEMPOTENT_METHODS.includes(method);
  }
}

/** The table before the first revision is received; it has no kinds and no groups. */
export const EMPTY_POLICY_TABLE = new PolicyTable(0, []);
