/** Reads what a stand-in back end wrote down of its executions. A kill may have cut the last line short. */
import { existsSync, readFileSync } from 'node:fs';
import type { ExecutionRecord } from '../model/backend-model.js';

export function readExecutions(file: string): ExecutionRecord[] {
  if (!existsSync(file)) return [];
  const lines = readFileSync(file, 'utf8').split('\n');
  // What follows the last line end is empty or cut short.
  return lines.slice(0, -1).map((line) => JSON.parse(line) as ExecutionRecord);
}
