/** `shoredoor delete`: deletes one resource, optionally only at a given version. */
import { randomUUID } from 'node:crypto';
import {
  detailOf,
  exitCodeOf,
  failedResult,
  printReports,
  type ChangeReport,
} from './change-report.js';
import { createClient, readOutputFormat, type OperatorOptions } from './command-options.js';
import type { ExitCode } from './exit-codes.js';
import { parseResourceId } from './resource-id.js';
import { HttpStatus } from '../common/http-status.js';

export interface DeleteOptions extends OperatorOptions {
  readonly ifVersion?: number;
  readonly changeId?: string;
}

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
  const deleted = answer.status === HttpStatus.Ok;
  const report: ChangeReport = {
    ...id,
    result: deleted ? 'deleted' : failedResult(answer.status),
    status: answer.status,
    detail: detailOf(answer),
  };
  printReports(readOutputFormat(options), [report]);
  return exitCodeOf([report]);
}
