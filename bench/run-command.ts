/** Runs the command of a benchmark. Errors are printed to standard error and set exit code 2. */
import type { CAC } from 'cac';

const EXIT_FAILED = 2;

export async function runCommand(cli: CAC): Promise<void> {
  cli.help();
  try {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
  } catch (error) {
    process.stderr.write(`bench: ${error instanceof Error ? error.message : String(error)}\n`);
    process.exitCode = EXIT_FAILED;
  }
}
