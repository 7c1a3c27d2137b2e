/** `shoredoor validate`: validates declarations without calling control. */
import { UsageError } from '../common/errors.js';
import type { FileOptions } from './command-options.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { readDeclarations } from './resource-files.js';

export function validateDeclarations(options: FileOptions): ExitCode {
  if (options.file === undefined) throw new UsageError('validate needs -f FILE-OR-FOLDER');
  const declared = readDeclarations(options.file);
  process.stdout.write(`${declared.length} declarations are valid\n`);
  return EXIT_CODES.ok;
}
