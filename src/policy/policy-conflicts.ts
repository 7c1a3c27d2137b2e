/**
 * Detects conflicts between policies: each group, kind, API key hash and route, and the default group, may be declared by
 * only one policy.
 */
import type { Fault } from '../common/errors.js';
import type { PolicyResource, Resource } from './resource-schema.js';

/** Records who first declared each name, and reports later declarations by others. */
class NameOwners {
  private readonly ownerByName = new Map<string, string>();

  constructor(private readonly subject: string) {}

  claim(name: string, owner: string, path: string, faults: Fault[]): void {
    const other = this.ownerByName.get(name);
    if (other === undefined) this.ownerByName.set(name, owner);
    else if (other !== owner) {
      faults.push({ path, message: `${this.subject} '${name}' is already declared by ${other}` });
    }
  }
}

/** The names that policies have declared. */
class DeclaredNames {
  private readonly groups = new NameOwners('group');
  private readonly kinds = new NameOwners('kind');
  private readonly keys = new NameOwners('API key hash');
  private readonly routes = new NameOwners('route');
  private readonly defaultGroups = new NameOwners('default group');

  /** Adds the declarations of a policy. @returns its conflicts with the policies added before */
  add(policy: PolicyResource): Fault[] {
    const faults: Fault[] = [];
    const owner = `policy '${policy.name}'`;
    this.addGroups(policy, owner, faults);
    this.addKinds(policy, owner, faults);
    if (policy.spec.defaultGroup !== undefined) {
      this.defaultGroups.claim('default', owner, 'spec.defaultGroup', faults);
    }
    return faults;
  }

  private addGroups({ spec }: PolicyResource, owner: string, faults: Fault[]): void {
    spec.groups.forEach(({ name, keyHashes }, index) => {
      this.groups.claim(name, owner, `spec.groups[${index}].name`, faults);
      for (const hash of keyHashes) {
        this.keys.claim(hash, `${owner}, group '${name}'`, `spec.groups[${index}]`, faults);
      }
    });
  }

  private addKinds({ spec }: PolicyResource, owner: string, faults: Fault[]): void {
    spec.kinds.forEach(({ name, match: matches }, index) => {
      this.kinds.claim(name, owner, `spec.kinds[${index}].name`, faults);
      for (const match of matches) {
        const route = `${match.method} ${match.path}`;
        this.routes.claim(route, `${owner}, kind '${name}'`, `spec.kinds[${index}]`, faults);
      }
    });
  }
}

/** Returns the conflicts of `candidate` with the other resources. */
export function conflictFaults(candidate: Resource, others: Iterable<Resource>): Fault[] {
  if (candidate.kind !== 'Policy') return [];
  const declared = new DeclaredNames();
  for (const other of others) {
    if (other.kind === 'Policy' && other.name !== candidate.name) declared.add(other);
  }
  return declared.add(candidate);
}
