/** Parses resource ids given on the command line. */
import { UsageError } from '../common/errors.js';
import { DECLARED_KINDS, type ResourceKind } from '../policy/resource-schema.js';
import type { ResourceId } from '../policy/stored-resource.js';

/**
 * Parses the id of a resource; the kind is case-insensitive.
 * @param kinds kinds that the command supports
 * @throws UsageError if `kind` is none of them
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
