/**
 * The `shoredoor` command line: runs the matched command and reports its error as a message and an exit code. Long-running
 * programs exit by themselves (process-lifecycle.ts).
 */
import { cac } from 'cac';
import { RequestError, UsageError, ValidationError } from '../common/errors.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { registerOperatorCommands } from './operator-commands.js';
import type { ProcessLifecycle } from './process-lifecycle.js';
import { registerProgramCommands } from './program-commands.js';
import { VERSION } from './version.js';

/** Writes an error to standard error. @returns the exit code for it */
function reportError(error: unknown): ExitCode {
  if (error instanceof ValidationError) {
    process.stderr.write(`shoredoor: ${error.message}\n`);
    for (const fault of error.faults) {
      process.stderr.write(
        `  ${fault.path === '' ? '(document)' : fault.path}: ${fault.message}\n`,
      );
    }
    return EXIT_CODES.usage;
  }
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`shoredoor: ${message}\n`);
  if (error instanceof UsageError || (error as Error).name === 'CACError') return EXIT_CODES.usage;
  if (error instanceof RequestError && error.status === 0) return EXIT_CODES.unreachable;
  return EXIT_CODES.failed;
}

/** Runs the command that `argv` names. @param lifecycle that of the process, if the command runs a program */
export async function runCommandLine(
  argv: readonly string[],
  lifecycle: ProcessLifecycle | undefined,
): Promise<void> {
  const cli = cac('shoredoor');
  registerProgramCommands(cli, lifecycle);
  registerOperatorCommands(cli);
  cli.help();
  cli.version(VERSION);
  try {
    cli.parse([...argv], { run: false });
    if (cli.matchedCommand === undefined) {
      if (cli.options.help === true || cli.options.version === true) return;
      const unknown = cli.args[0];
      throw new UsageError(
        unknown === undefined ? 'a command is needed; see --help' : `unknown command '${unknown}'`,
      );
    }
    await cli.runMatchedCommand();
  } catch (error) {
    process.exitCode = reportError(error);
    if (lifecycle === undefined) return;
    lifecycle.onFailedStart(error);
    // A server that listens already would keep the process alive.
    process.exit();
  }
}
