/** `shoredoor diff`: compares declarations field by field with the resources that control has accepted. */
import { isDeepStrictEqual } from 'node:util';
import { UsageError } from '../common/errors.js';
import { createClient, readOutputFormat, type FileOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { printResult } from './output.js';
import { readDeclarations } from './resource-files.js';

export async function diffDeclarations(options: FileOptions): Promise<ExitCode> {
  if (options.file === undefined) throw new UsageError('diff needs -f FILE-OR-FOLDER');
  const declared = readDeclarations(options.file);
  const { items } = await createClient(options).list();
  const differences = declared.flatMap(({ resource }) => {
    const stored = items.find(
      (item) => item.resource.kind === resource.kind && item.resource.name === resource.name,
    );
    if (isDeepStrictEqual(stored?.resource, resource)) return [];
    const change = stored === undefined ? 'would be created' : 'would be changed';
    const fields =
      stored === undefined ? [] : changedPaths(stored.resource.spec, resource.spec, 'spec');
    return [{ kind: resource.kind, name: resource.name, change, fields }];
  });
  printResult(readOutputFormat(options), differences, () => ({
    columns: ['KIND', 'NAME', 'DIFFERENCE', 'FIELDS'],
    rows: differences.map(({ kind, name, change, fields }) => [
      kind,
      name,
      change,
      fields.join(', '),
    ]),
  }));
  return differences.length === 0 ? EXIT_CODES.ok : EXIT_CODES.different;
}

/** Returns the paths at which two values differ, with both values. */
function changedPaths(before: unknown, after: unknown, path: string): string[] {
  if (isDeepStrictEqual(before, after)) return [];
  const isObject = (value: unknown): value is Record<string, unknown> =>
    typeof value === 'object' && value !== null;
  if (!isObject(before) || !isObject(after)) {
    return [`${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`];
  }
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap((name) => changedPaths(before[name], after[name], `${path}.${name}`));
}
