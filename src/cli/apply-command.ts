/** `shoredoor apply`: declares each resource of a file or folder and reports one result for each. */
import { randomUUID } from 'node:crypto';
import { UsageError } from '../common/errors.js';
import type { ResourceClient } from '../client/resource-client.js';
import type { ApiAnswer } from '../client/replica-client.js';
import type { Resource } from '../policy/resource-schema.js';
import {
  detailOf,
  exitCodeOf,
  failedResult,
  printReports,
  type ChangeReport,
} from './change-report.js';
import { createClient, readOutputFormat, type FileOptions } from './command-options.js';
import type { ExitCode } from './exit-codes.js';
import { readDeclarations } from './resource-files.js';
import { HttpStatus } from '../common/http-status.js';

export interface ApplyOptions extends FileOptions {
  readonly dryRun?: boolean;
  readonly changePrefix?: string;
}

export async function applyDeclarations(options: ApplyOptions): Promise<ExitCode> {
  if (options.file === undefined) throw new UsageError('apply needs -f FILE-OR-FOLDER');
  const declared = readDeclarations(options.file);
  const client = createClient(options);
  const format = readOutputFormat(options);
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
    reports.push(toChangeReport(resource, answer));
  }
  printReports(format, reports);
  return exitCodeOf(reports);
}

/** Reads the current version of each resource, to detect concurrent changes. */
async function readVersions(client: ResourceClient): Promise<Map<string, number>> {
  const { items } = await client.list();
  return new Map(
    items.map(({ resource, version }) => [`${resource.kind}/${resource.name}`, version]),
  );
}

function toChangeReport(resource: Resource, answer: ApiAnswer): ChangeReport {
  const { kind, name } = resource;
  const body = answer.body as { type?: string } | undefined;
  let result: ChangeReport['result'];
  if (answer.status === HttpStatus.Created) result = 'created';
  else if (answer.status === HttpStatus.Ok) {
    result = body?.type === 'unchanged' ? 'unchanged' : 'changed';
  } else result = failedResult(answer.status);
  return { kind, name, result, status: answer.status, detail: detailOf(answer) };
}
