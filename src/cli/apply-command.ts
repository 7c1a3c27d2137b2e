/** `apply` and `delete`: changes with one answer for each resource. */
import { randomUUID } from 'node:crypto';
import { UsageError } from '../common/errors.js';
import type { ApiAnswer } from '../client/replica-requests.js';
import type { ResourceClient } from '../client/resource-client.js';
import { DECLARED_KINDS, type Resource, type ResourceKind } from '../policy/resource-schema.js';
import type { ResourceId } from '../policy/stored-resource.js';
import { createClient, readOutput } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import type { ApplyOptions, DeleteOptions } from './operator-commands.js';
import { printResult } from './output.js';
import { readDeclarations } from './resource-files.js';

/** The answer for one resource. */
interface ChangeReport {
  readonly kind: string;
  readonly name: string;
  readonly result: 'created' | 'changed' | 'unchanged' | 'deleted' | 'conflict' | 'refused';
  readonly status: number;
  readonly detail: string;
}

const STATUS_CREATED = 201;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

/**
 * The id of a resource named on the command line.
 * @param kinds those that the command works on
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

/** `shoredoor apply`. */
export async function applyDeclarations(options: ApplyOptions): Promise<ExitCode> {
  if (options.file === undefined) throw new UsageError('apply needs -f FILE-OR-FOLDER');
  const declared = readDeclarations(options.file);
  const client = createClient(options);
  const format = readOutput(options);
  const prefix = options.changePrefix ?? randomUUID();
  const versions = await readVersions(client);
  const reports: ChangeReport[] = [];
  for (const { resource } of declared) {
    const expect = versions.get(`${resource.kind}/${resource.name}`) ?? 'absent';
    const answer = await client.put(resource, {
      changeId: `${prefix}/${resource.kind}/${resource.name}`,
      expect: options.changePrefix === undefined ? expect : undefined,
      dryRun: options.dryRun,
    });
    reports.push(reportPut(resource, answer));
  }
  printReports(format, reports);
  return exitCodeOf(reports);
}

/** `shoredoor delete`. */
export async function deleteResource(
  kind: string,
  name: string,
  options: DeleteOptions,
): Promise<ExitCode> {
  const id = parseResourceId(kind, name);
  const answer = await createClient(options).delete(id, {
    changeId: options.changeId ?? randomUUID(),
    expect: options.ifVersion,
  });
  const deleted = answer.status === STATUS_OK;
  const report: ChangeReport = {
    ...id,
    result: deleted ? 'deleted' : failedResult(answer.status),
    status: answer.status,
    detail: detailOf(answer),
  };
  printReports(readOutput(options), [report]);
  return exitCodeOf([report]);
}

/** The version that each resource stands at, so that a change in between is noticed. */
async function readVersions(client: ResourceClient): Promise<Map<string, number>> {
  const { items } = await client.list();
  return new Map(
    items.map(({ resource, version }) => [`${resource.kind}/${resource.name}`, version]),
  );
}

function reportPut(resource: Resource, answer: ApiAnswer): ChangeReport {
  const { kind, name } = resource;
  const body = answer.body as { type?: string } | undefined;
  let result: ChangeReport['result'];
  if (answer.status === STATUS_CREATED) result = 'created';
  else if (answer.status === STATUS_OK) {
    result = body?.type === 'unchanged' ? 'unchanged' : 'changed';
  } else result = failedResult(answer.status);
  return { kind, name, result, status: answer.status, detail: detailOf(answer) };
}

function failedResult(status: number): 'conflict' | 'refused' {
  return status === STATUS_CONFLICT ? 'conflict' : 'refused';
}

function detailOf(answer: ApiAnswer): string {
  const body = answer.body as
    | { revision?: number; detail?: string; faults?: { path: string; message: string }[] }
    | undefined;
  if (body?.revision !== undefined) return `revision ${body.revision}`;
  const faults = (body?.faults ?? []).map((fault) => `${fault.path}: ${fault.message}`);
  return [body?.detail ?? '', ...faults].filter((text) => text !== '').join('; ');
}

function printReports(format: 'json' | 'table', reports: readonly ChangeReport[]): void {
  printResult(format, reports, () => ({
    columns: ['KIND', 'NAME', 'RESULT', 'DETAIL'],
    rows: reports.map(({ kind, name, result, detail }) => [kind, name, result, detail]),
  }));
}

function exitCodeOf(reports: readonly ChangeReport[]): ExitCode {
  if (reports.some((report) => report.result === 'refused')) return EXIT_CODES.failed;
  if (reports.some((report) => report.result === 'conflict')) return EXIT_CODES.conflict;
  return EXIT_CODES.ok;
}
