/** The commands that change nothing: get, diff, watch, status, validate. */
import { isDeepStrictEqual } from 'node:util';
import { stringify } from 'yaml';
import { UsageError } from '../common/errors.js';
import type { StoredResource } from '../policy/stored-resource.js';
import type { WatchEvent } from '../sync/watch-event.js';
import { RESOURCE_KINDS } from '../policy/resource-schema.js';
import { parseResourceId } from './apply-command.js';
import { createClient, readOutput, type OperatorOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { FileOptions, WatchOptions } from './operator-commands.js';
import { printResult } from './output.js';
import { readDeclarations } from './resource-files.js';

/** `shoredoor get`. */
export async function getResources(
  kind: string | undefined,
  name: string | undefined,
  options: OperatorOptions,
): Promise<ExitCode> {
  const client = createClient(options);
  const format = readOutput(options);
  const list = await client.list();
  const wantedKind =
    kind === undefined ? undefined : parseResourceId(kind, '', RESOURCE_KINDS).kind;
  const items = list.items.filter(
    ({ resource }) =>
      (wantedKind === undefined || resource.kind === wantedKind) &&
      (name === undefined || resource.name === name),
  );
  const only = items[0];
  if (name !== undefined && only === undefined) {
    process.stderr.write(`shoredoor: there is no ${kind} '${name}'\n`);
    return EXIT_CODES.failed;
  }
  if (name !== undefined && only !== undefined && format === 'table') {
    process.stdout.write(stringify(only.resource));
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

/** `shoredoor diff`. */
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
  printResult(readOutput(options), differences, () => ({
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

/** Paths at which two values differ. */
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

/** `shoredoor watch`. */
export async function watchChanges(options: WatchOptions): Promise<ExitCode> {
  const client = createClient(options);
  const format = readOutput(options);
  const from = options.from ?? (await client.list()).revision;
  for await (const event of client.watch(from)) {
    const text = format === 'json' ? JSON.stringify(event) : describeEvent(event);
    process.stdout.write(`${text}\n`);
    if (event.type === 'relist') return EXIT_CODES.failed;
  }
  return EXIT_CODES.ok;
}

function describeEvent(event: WatchEvent): string {
  if (event.type === 'relist') return 'Changes were lost: get the resources, then watch again.';
  if (event.type === 'bookmark') {
    return `revision ${event.revision}, in force everywhere: ${event.inForceRevision}`;
  }
  const { revision, id, stored, actor, at } = event.change;
  const what = stored === undefined ? 'deleted' : 'declared';
  return `revision ${revision}: ${id.kind} '${id.name}' ${what} by ${actor} at ${new Date(at).toISOString()}`;
}

/** `shoredoor status`. */
export async function showStatus(options: OperatorOptions): Promise<ExitCode> {
  const report = await createClient(options).status();
  const { replication } = report;
  const rows: [string, string][] = [
    ['replica', `${report.replicaId} (${replication.role}, term ${replication.term})`],
    ['leader', replication.leaderId ?? 'none known'],
    ['voters', replication.voters.join(', ')],
    ['learners', replication.learners.join(', ') || 'none'],
    ['replica set', replication.replicasSettled ? 'settled' : 'changing'],
    ['accepted revision', String(report.acceptedRevision)],
    ['distributed revision', String(report.distributedRevision)],
    ['in-force revision', String(report.inForceRevision)],
    ['members', String(report.memberCount)],
    ...report.holders.map(({ revision, count }): [string, string] => [
      `holding revision ${revision}`,
      String(count),
    ]),
    ...report.lagging.map(({ id, zone, appliedRevision }): [string, string] => [
      `lagging: ${id} (${zone})`,
      `revision ${appliedRevision}`,
    ]),
  ];
  if (replication.problem !== undefined) rows.push(['problem', replication.problem]);
  printResult(readOutput(options), report, () => ({ columns: ['WHAT', 'VALUE'], rows }));
  return EXIT_CODES.ok;
}

/** `shoredoor validate`. */
export function validateDeclarations(options: FileOptions): ExitCode {
  if (options.file === undefined) throw new UsageError('validate needs -f FILE-OR-FOLDER');
  const declared = readDeclarations(options.file);
  process.stdout.write(`${declared.length} declarations are valid\n`);
  return EXIT_CODES.ok;
}
