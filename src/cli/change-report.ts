/** Results of commands that change resources: their output and exit code. */
import type { ApiAnswer } from '../client/replica-client.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { printResult, type OutputFormat } from './output.js';
import { HttpStatus } from '../common/http-status.js';

/** Statuses of the resource API's answers to changes. */

/** The result for one resource. */
export interface ChangeReport {
  readonly kind: string;
  readonly name: string;
  readonly result: 'created' | 'changed' | 'unchanged' | 'deleted' | 'conflict' | 'refused';
  readonly status: number;
  readonly detail: string;
}

/** Returns the result for a change that did not take effect. */
export function failedResult(status: number): 'conflict' | 'refused' {
  return status === HttpStatus.Conflict ? 'conflict' : 'refused';
}

/** Returns the revision of a change, or the reason why it was rejected. */
export function detailOf(answer: ApiAnswer): string {
  const body = answer.body as
    | { revision?: number; detail?: string; faults?: { path: string; message: string }[] }
    | undefined;
  if (body?.revision !== undefined) return `revision ${body.revision}`;
  const faults = (body?.faults ?? []).map((fault) => `${fault.path}: ${fault.message}`);
  return [body?.detail ?? '', ...faults].filter((text) => text !== '').join('; ');
}

/** Prints one row for each resource. */
export function printReports(format: OutputFormat, reports: readonly ChangeReport[]): void {
  printResult(format, reports, () => ({
    columns: ['KIND', 'NAME', 'RESULT', 'DETAIL'],
    rows: reports.map(({ kind, name, result, detail }) => [kind, name, result, detail]),
  }));
}

/** Returns the exit code of the worst result. */
export function exitCodeOf(reports: readonly ChangeReport[]): ExitCode {
  if (reports.some((report) => report.result === 'refused')) return EXIT_CODES.failed;
  if (reports.some((report) => report.result === 'conflict')) return EXIT_CODES.conflict;
  return EXIT_CODES.ok;
}
