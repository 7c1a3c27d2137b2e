/**
 * The operator commands with their options and examples. The implementation of each is imported only when the command runs,
 * to keep the start short.
 */
import type { CAC, Command } from 'cac';
import type { ApplyOptions } from './apply-command.js';
import type { FileOptions, OperatorOptions } from './command-options.js';
import type { DeleteOptions } from './delete-command.js';
import { EXIT_CODES, type ExitCode } from './exit-codes.js';
import { VERSION } from './version.js';
import type { WatchOptions } from './watch-command.js';

const FILE_HELP = 'File or folder with declarations (YAML)';

/** Adds the options of commands that call control. */
function addControlOptions(command: Command): Command {
  return command
    .option('--control <origins>', 'Control replicas, separated by commas (SHOREDOOR_CONTROL)')
    .option('--token-file <file>', 'File with the access token (or SHOREDOOR_TOKEN)')
    .option('--output <format>', 'table or json', { default: 'table' });
}

async function exitWith(work: Promise<ExitCode>): Promise<void> {
  process.exitCode = await work;
}

/** Registers the commands in the order of the help text. */
export function registerOperatorCommands(cli: CAC): void {
  registerApply(cli);
  registerGet(cli);
  registerDelete(cli);
  registerDiff(cli);
  registerWatch(cli);
  registerStatus(cli);
  registerValidate(cli);
  registerVersion(cli);
}

function registerApply(cli: CAC): void {
  addControlOptions(cli.command('apply', 'Declare resources from a file or folder'))
    .option('-f, --file <path>', FILE_HELP)
    .option('--dry-run', 'Show what would change and change nothing')
    .option('--change-prefix <text>', 'Names this run; a rerun with the same text is a resend')
    .example('  $ shoredoor apply -f policies/ --control http://10.0.0.1:7000')
    .action(async (options: ApplyOptions) => {
      const { applyDeclarations } = await import('./apply-command.js');
      await exitWith(applyDeclarations(options));
    });
}

function registerGet(cli: CAC): void {
  addControlOptions(cli.command('get [kind] [name]', 'Show resources'))
    .example('  $ shoredoor get Policy ratenwerk --output json')
    .action(
      async (kind: string | undefined, name: string | undefined, options: OperatorOptions) => {
        const { getResources } = await import('./get-command.js');
        await exitWith(getResources(kind, name, options));
      },
    );
}

function registerDelete(cli: CAC): void {
  addControlOptions(cli.command('delete <kind> <name>', 'Delete a resource'))
    .option('--if-version <version>', 'Only when the resource stands at this version')
    .option('--change-id <id>', 'Names this change; a resend with the same id is harmless')
    .example('  $ shoredoor delete Service bundler --if-version 12')
    .action(async (kind: string, name: string, options: DeleteOptions) => {
      const { deleteResource } = await import('./delete-command.js');
      await exitWith(deleteResource(kind, name, options));
    });
}

function registerDiff(cli: CAC): void {
  addControlOptions(cli.command('diff', 'Compare declarations with what is accepted'))
    .option('-f, --file <path>', FILE_HELP)
    .example('  $ shoredoor diff -f policies/')
    .action(async (options: FileOptions) => {
      const { diffDeclarations } = await import('./diff-command.js');
      await exitWith(diffDeclarations(options));
    });
}

function registerWatch(cli: CAC): void {
  addControlOptions(cli.command('watch', 'Follow changes and the revision in force'))
    .option('--from <revision>', 'Resume after this revision')
    .example('  $ shoredoor watch --output json')
    .action(async (options: WatchOptions) => {
      const { watchChanges } = await import('./watch-command.js');
      await exitWith(watchChanges(options));
    });
}

function registerStatus(cli: CAC): void {
  addControlOptions(cli.command('status', 'Show revisions, replication and lagging members'))
    .example('  $ shoredoor status')
    .action(async (options: OperatorOptions) => {
      const { showStatus } = await import('./status-command.js');
      await exitWith(showStatus(options));
    });
}

function registerValidate(cli: CAC): void {
  cli
    .command('validate', 'Check declarations without asking control')
    .option('-f, --file <path>', FILE_HELP)
    .example('  $ shoredoor validate -f policies/')
    .action(async (options: FileOptions) => {
      const { validateDeclarations } = await import('./validate-command.js');
      process.exitCode = validateDeclarations(options);
    });
}

function registerVersion(cli: CAC): void {
  cli.command('version', 'Print the version').action(() => {
    process.stdout.write(`${VERSION}\n`);
    process.exitCode = EXIT_CODES.ok;
  });
}
