/** How a command line names a resource: kind and name, the kind in any case of letters. */
import { UsageError } from '../common/errors.js';
import { DECLARED_KINDS, type ResourceKind } from '../policy/resource-schema.js';
import type { ResourceId } from '../policy/stored-resource.js';

/**
 * The id of a resource named on the command line.
 * @param kinds those that the command works on
 * @throws UsageError when it is none of them
 */
export function parseResourceId(
  kind: string,
  name: string,
  kinds: readonly ResourceKind[] = DECLARED_KINDS,
): ResourceId {
  const known = kinds.find((candidate) => candidate.toLowerCase() === kind.toLowerCase());
  if (known === undefined) {
    throw new UsageError(`kind must be one of: ${kinds.join(', ')}`);
  }
  return { kind: known, name };
}
