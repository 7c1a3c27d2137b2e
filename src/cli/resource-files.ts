/**
 * Reads declarations from a YAML file, which may contain several documents, or from a folder of such files, and validates
 * each resource alone and against the others.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { parseAllDocuments } from 'yaml';
import { ValidationError, type Fault } from '../common/errors.js';
import { conflictFaults } from '../policy/policy-conflicts.js';
import {
  parseResource,
  DECLARED_KINDS,
  resourceFaults,
  type Resource,
} from '../policy/resource-schema.js';

/** A resource and the file that declares it. */
export interface LoadedDeclaration {
  /** Path of the file, with the document number if the file has several documents. */
  readonly source: string;
  readonly resource: Resource;
}

const YAML_FILE = /\.ya?ml$/;

function filesOf(path: string): string[] {
  let stats;
  try {
    stats = statSync(path);
  } catch {
    // Other errors than a missing file are rare, so all are reported as one.
    throw new ValidationError('declarations cannot be read', {
      props: { faults: [{ path, message: 'no such file or folder' }] },
    });
  }
  if (!stats.isDirectory()) return [path];
  return readdirSync(path, { recursive: true, encoding: 'utf8' })
    .filter((name) => YAML_FILE.test(name))
    .sort()
    .map((name) => join(path, name));
}

function readFile(file: string, faults: Fault[]): LoadedDeclaration[] {
  const declared: LoadedDeclaration[] = [];
  const documents = parseAllDocuments(readFileSync(file, 'utf8'));
  if (!Array.isArray(documents)) return declared;
  documents.forEach((document, index) => {
    const source = documents.length > 1 ? `${file}#${index + 1}` : file;
    const syntaxFault = document.errors[0];
    if (syntaxFault !== undefined) {
      faults.push({ path: source, message: syntaxFault.message });
      return;
    }
    const value = document.toJS() as unknown;
    if (value === null) return;
    const found = resourceFaults(value);
    for (const fault of found) {
      faults.push({ path: `${source}: ${fault.path}`, message: fault.message });
    }
    if (found.length > 0) return;
    const resource = parseResource(value);
    if (DECLARED_KINDS.includes(resource.kind)) declared.push({ source, resource });
    else faults.push({ path: `${source}: kind`, message: 'is declared by the system itself' });
  });
  return declared;
}

/**
 * Reads and validates all declarations under `path`.
 * @returns resources in the order in which they are applied: services before policies
 * @throws ValidationError with all faults of all files
 */
export function readDeclarations(path: string): LoadedDeclaration[] {
  const faults: Fault[] = [];
  const declared = filesOf(path).flatMap((file) => readFile(file, faults));
  declared.forEach((entry, index) => {
    const earlier = declared.slice(0, index);
    const duplicate = earlier.find(
      (other) =>
        other.resource.kind === entry.resource.kind && other.resource.name === entry.resource.name,
    );
    if (duplicate !== undefined) {
      faults.push({ path: entry.source, message: `is also declared in ${duplicate.source}` });
    }
    const others = earlier.map((other) => other.resource);
    for (const fault of conflictFaults(entry.resource, others)) {
      faults.push({ path: `${entry.source}: ${fault.path}`, message: fault.message });
    }
  });
  if (faults.length > 0) {
    throw new ValidationError('declarations are not valid', { props: { faults } });
  }
  return declared.sort(
    (a, b) => DECLARED_KINDS.indexOf(a.resource.kind) - DECLARED_KINDS.indexOf(b.resource.kind),
  );
}
