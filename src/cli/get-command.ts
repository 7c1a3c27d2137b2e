/** `shoredoor get`: prints resources as a table, or a single resource as YAML. */
import { stringify } from 'yaml';
import type { StoredResource } from '../policy/stored-resource.js';
import { RESOURCE_KINDS } from '../policy/resource-schema.js';
import { createClient, readOutputFormat, type OperatorOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { printResult } from './output.js';
import { parseResourceId } from './resource-id.js';

export async function getResources(
  kind: string | undefined,
  name: string | undefined,
  options: OperatorOptions,
): Promise<ExitCode> {
  const client = createClient(options);
  const format = readOutputFormat(options);
  const list = await client.list();
  const requestedKind =
    kind === undefined ? undefined : parseResourceId(kind, '', RESOURCE_KINDS).kind;
  const items = list.items.filter(
    ({ resource }) =>
      (requestedKind === undefined || resource.kind === requestedKind) &&
      (name === undefined || resource.name === name),
  );
  const match = items[0];
  if (name !== undefined && match === undefined) {
    process.stderr.write(`shoredoor: there is no ${kind} '${name}'\n`);
    return EXIT_CODES.failed;
  }
  if (name !== undefined && match !== undefined && format === 'table') {
    process.stdout.write(stringify(match.resource));
    return EXIT_CODES.ok;
  }
  printResult(format, { revision: list.revision, items }, () => ({
    columns: ['KIND', 'NAME', 'VERSION', 'CHANGED BY', 'CHANGED AT'],
    rows: items.map(resourceRow),
  }));
  return EXIT_CODES.ok;
}

function resourceRow(stored: StoredResource): string[] {
  const { resource, version, changedBy, changedAt } = stored;
  const at = new Date(changedAt).toISOString();
  return [resource.kind, resource.name, String(version), changedBy, at];
}
