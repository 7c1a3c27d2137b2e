/** Reads the execution records that a stub back end wrote. A kill may have truncated the last line. */
import { existsSync, readFileSync } from 'node:fs';
import type { ExecutionRecord } from '../model/backend-model.js';

export function readExecutions(file: string): ExecutionRecord[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  // The text after the last newline is empty or a truncated record.
  return lines.slice(0, -1).map((line) => JSON.parse(line) as ExecutionRecord);
}
